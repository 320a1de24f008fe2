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

// fleetKey finds the fleet of a script.
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
			env.Setenv("FILBERTHAVEN_KEY", fleet.token)
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
			"template": template,
			"append":   appendFile,
			"exits":    exits,
			"readkey":  readKey,
			"accepted": accepted,
			"lapses":   lapses,
			"state":    state,
			"cut":      cut,
			"store":    store,
			"load":     load,
		},
	})
}

// fleetOf returns the fleet of the script.
func fleetOf(ts *testscript.TestScript) *fleet { return ts.Value(fleetKey{}).(*fleet) }

// template FILE writes the declarations that scripts begin with.
func template(ts *testscript.TestScript, _ bool, args []string) {
	text, err := os.ReadFile(ts.Getenv("TEMPLATE"))
	ts.Check(err)
	path := ts.MkAbs(args[0])
	ts.Check(os.MkdirAll(filepath.Dir(path), 0o755))
	ts.Check(os.WriteFile(path, []byte(os.Expand(string(text), ts.Getenv)), 0o644))
}

// append FILE PART adds the text of another file.
func appendFile(ts *testscript.TestScript, _ bool, args []string) {
	text := ts.ReadFile(args[0]) + ts.ReadFile(args[1])
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o644))
}

// exits CODE COMMAND... runs a command that must end with the exit code.
func exits(ts *testscript.TestScript, _ bool, args []string) {
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

// readkey VARIABLE takes the key and its id from the output of grant; the id goes into VARIABLE_ID.
func readKey(ts *testscript.TestScript, _ bool, args []string) {
	id, token, err := parseGrant(ts.ReadFile("stdout"))
	ts.Check(err)
	ts.Setenv(args[0], token)
	ts.Setenv(args[0]+"_ID", id)
}

// accepted KEY holds that all entry VMs accept the key; with ! that none does.
func accepted(ts *testscript.TestScript, neg bool, args []string) {
	for _, vm := range fleetOf(ts).vms {
		ok, err := vm.accepts(args[0])
		ts.Check(err)
		if ok == neg {
			ts.Fatalf("%s accepts the key: %v", vm.id, ok)
		}
	}
}

// lapses KEY waits until no entry VM accepts the key.
func lapses(ts *testscript.TestScript, _ bool, args []string) {
	for _, vm := range fleetOf(ts).vms {
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

// state CENTRE STATE holds the state of a data centre on all entry VMs.
func state(ts *testscript.TestScript, _ bool, args []string) {
	for _, vm := range fleetOf(ts).vms {
		centre, _ := vm.copied.Current().Centre(args[0])
		if string(centre.State()) != args[1] {
			ts.Fatalf("%s has %s as %q", vm.id, args[0], centre.State())
		}
	}
}

// cut VM keeps other entry VMs from reaching this one; with ! they reach it again.
func cut(ts *testscript.TestScript, neg bool, args []string) {
	for _, vm := range fleetOf(ts).vms {
		if vm.id == args[0] {
			vm.cut.Store(!neg)
			return
		}
	}
	ts.Fatalf("no entry VM %s", args[0])
}

// store FAULT switches the key-value service: down, lossy or up.
func store(ts *testscript.TestScript, _ bool, args []string) {
	if err := fleetOf(ts).setStore(args[0]); err != nil {
		ts.Fatalf("%v", err)
	}
}

// load start KEY sends requests with the key to all entry VMs, load switch KEY goes on with
// another, and load stop holds that none was refused.
func load(ts *testscript.TestScript, _ bool, args []string) {
	fleet := fleetOf(ts)
	switch args[0] {
	case "start":
		fleet.load = startLoad(fleet.vms, args[1])
	case "switch":
		fleet.load.use(args[1])
	case "stop":
		sent, refused := fleet.load.stop()
		ts.Logf("%d requests, %d refused", sent, refused)
		if sent == 0 || refused > 0 {
			ts.Fatalf("%d of %d requests were refused, the last: %v", refused, sent, fleet.load.last.Load())
		}
	default:
		ts.Fatalf("unknown: load %s", args[0])
	}
}
