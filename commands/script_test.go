package commands

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"filberthaven": func() { os.Exit(Run(os.Args[1:])) },
	})
}

// fleetKey is the key under which the environment of a script holds its fleet.
type fleetKey struct{}

// TestScripts runs testdata/scripts/*.txtar, each against a fleet of its own of three entry
// VMs with an in-memory key-value service.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/scripts",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			fleet, err := startFleet()
			if err != nil {
				return err
			}
			env.Defer(fleet.stop)
			env.Values[fleetKey{}] = fleet
			env.Setenv("FILBERTHAVEN_ADDRESS", fleet.vms[0].callers.URL)
			env.Setenv("FILBERTHAVEN_KEY", fleet.operatorToken)
			template, err := filepath.Abs("testdata/fleet.ini")
			if err != nil {
				return err
			}
			env.Setenv("TEMPLATE", template)
			env.Setenv("OPERATOR", fleet.operator.ID())
			env.Setenv("OPERATOR_HASH", fleet.operator.Hash())
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"template": writeTemplate,
			"append":   appendFile,
			"exits":    checkExitCode,
			"readkey":  readKey,
			"accepted": checkAccepted,
			"lapses":   waitExpired,
			"state":    checkState,
			"cut":      setPartitioned,
			"store":    setStore,
			"load":     controlLoad,
		},
	})
}

// scriptFleet returns the fleet of the script.
func scriptFleet(ts *testscript.TestScript) *fleet { return ts.Value(fleetKey{}).(*fleet) }

// writeTemplate implements "template FILE": it writes the first declarations of a
// script, from testdata/fleet.ini.
func writeTemplate(ts *testscript.TestScript, _ bool, args []string) {
	text, err := os.ReadFile(ts.Getenv("TEMPLATE"))
	ts.Check(err)
	path := ts.MkAbs(args[0])
	ts.Check(os.MkdirAll(filepath.Dir(path), 0o755))
	ts.Check(os.WriteFile(path, []byte(os.Expand(string(text), ts.Getenv)), 0o644))
}

// appendFile implements "append FILE PART": it appends the text of PART to FILE.
func appendFile(ts *testscript.TestScript, _ bool, args []string) {
	text := ts.ReadFile(args[0]) + ts.ReadFile(args[1])
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o644))
}

// checkExitCode implements "exits CODE COMMAND...": it runs a command and checks its
// exit code.
func checkExitCode(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	code := 0
	err = ts.Exec(args[1], args[2:]...)
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if code != want {
		ts.Fatalf("exit code %d, want %d", code, want)
	}
}

// readKey implements "readkey VARIABLE": it sets VARIABLE to the key that grant has
// printed, and VARIABLE_ID to its id.
func readKey(ts *testscript.TestScript, _ bool, args []string) {
	id, token, err := parseGrant(ts.ReadFile("stdout"))
	ts.Check(err)
	ts.Setenv(args[0], token)
	ts.Setenv(args[0]+"_ID", id)
}

// checkAccepted implements "accepted KEY": it checks that all entry VMs accept the
// key; with ! that none does.
func checkAccepted(ts *testscript.TestScript, neg bool, args []string) {
	for _, vm := range scriptFleet(ts).vms {
		ok, err := vm.accepts(args[0])
		ts.Check(err)
		if ok == neg {
			ts.Fatalf("%s accepts the key: %v", vm.id, ok)
		}
	}
}

// waitExpired implements "lapses KEY": it waits up to a minute for each entry VM to
// refuse the key.
func waitExpired(ts *testscript.TestScript, _ bool, args []string) {
	for _, vm := range scriptFleet(ts).vms {
		for deadline := time.Now().Add(time.Minute); ; time.Sleep(50 * time.Millisecond) {
			ok, err := vm.accepts(args[0])
			ts.Check(err)
			if !ok {
				break
			}
			if time.Now().After(deadline) {
				ts.Fatalf("%s still accepts the key", vm.id)
			}
		}
	}
}

// checkState implements "state CENTRE STATE": it checks the state of a data centre on
// all entry VMs.
func checkState(ts *testscript.TestScript, _ bool, args []string) {
	for _, vm := range scriptFleet(ts).vms {
		centre, _ := vm.config.Current().Centre(args[0])
		if string(centre.State()) != args[1] {
			ts.Fatalf("%s has %s as %q", vm.id, args[0], centre.State())
		}
	}
}

// setPartitioned implements "cut VM": other entry VMs can't reach this one; with !
// they reach it again.
func setPartitioned(ts *testscript.TestScript, neg bool, args []string) {
	for _, vm := range scriptFleet(ts).vms {
		if vm.id == args[0] {
			vm.partitioned.Store(!neg)
			return
		}
	}
	ts.Fatalf("no entry VM %s", args[0])
}

// setStore implements "store STATE": it switches the key-value service to down, lossy
// or up.
func setStore(ts *testscript.TestScript, _ bool, args []string) {
	if err := scriptFleet(ts).setStore(args[0]); err != nil {
		ts.Fatalf("%v", err)
	}
}

// controlLoad implements the load commands. "load start KEY" sends requests with the
// key to all entry VMs, "load switch KEY" changes the key, and "load stop" checks that
// no request was refused.
func controlLoad(ts *testscript.TestScript, _ bool, args []string) {
	fleet := scriptFleet(ts)
	switch args[0] {
	case "start":
		fleet.load = startLoad(fleet.vms, args[1])
	case "switch":
		fleet.load.use(args[1])
	case "stop":
		sent, refused := fleet.load.stop()
		ts.Logf("%d requests, %d refused", sent, refused)
		if sent == 0 || refused > 0 {
			ts.Fatalf("%d of %d requests were refused, the last: %v", refused, sent, fleet.load.lastRefusal.Load())
		}
	default:
		ts.Fatalf("unknown: load %s", args[0])
	}
}
