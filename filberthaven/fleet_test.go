package main_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"filberthaven.example/launcher"
	qt "github.com/frankban/quicktest"
)

var centres = []string{"alfa", "bravo", "carso"}

const entriesPerCentre = 3

// binary builds the program once for all tests.
func binary(c *qt.C) string {
	path := filepath.Join(c.TempDir(), "filberthaven")
	args := []string{"build", "-o", path}
	if raceEnabled {
		args = append(args, "-race")
	}
	output, err := exec.Command("go", append(args, ".")...).CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", output))
	return path
}

// entry is one entry VM as a process.
type entry struct {
	id, centre       string
	listen, internal string
	config           string
	command          *exec.Cmd
	incarnation      uint64
}

// processes is a fleet whose entry VMs are processes; the platform, workers and
// executors are stand-ins in the test.
type processes struct {
	c       *qt.C
	program string
	fleet   *launcher.Fleet
	entries []*entry
	secure  *secureFiles // nil: plaintext
	client  *http.Client
}

// newProcesses starts a fleet of nine entry VMs in three data centres.
func newProcesses(t *testing.T, secure bool, options ...launcher.Option) *processes {
	c := qt.New(t)
	fleet, err := launcher.New(t.Context(), append(options, launcher.WithoutEntries(), launcher.WithCentres(centres...))...)
	c.Assert(err, qt.IsNil)
	c.Cleanup(fleet.Close)
	p := &processes{c: c, program: binary(c), fleet: fleet, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
	if secure {
		p.secure = newSecureFiles(c)
		p.client.Transport = &http.Transport{TLSClientConfig: p.secure.client(), MaxIdleConnsPerHost: 16}
	}
	for i := range entriesPerCentre {
		for _, centre := range centres {
			p.entries = append(p.entries, p.newEntry(fmt.Sprintf("%s-%d", centre, i+1), centre))
		}
	}
	for _, e := range p.entries {
		p.start(e)
	}
	c.Cleanup(func() {
		for _, e := range p.entries {
			p.kill(e)
		}
	})
	return p
}

// newEntry writes the settings of an entry VM.
func (p *processes) newEntry(id, centre string) *entry {
	e := &entry{id: id, centre: centre, listen: freeAddress(p.c), internal: freeAddress(p.c)}
	e.config = filepath.Join(p.c.TempDir(), id+".ini")
	text := fmt.Sprintf("[vm]\nid = %s\ncentre = %s\nlisten = %s\ninternal = %s\n\n[platform]\naddress = %s\n\n[log]\nlevel = info\n",
		id, centre, e.listen, e.internal, p.fleet.Platform())
	for _, name := range centres {
		text += fmt.Sprintf("\n[centre %q]\n", name)
	}
	if p.secure != nil {
		p.secure.issue(id)
		text += p.secure.settings(id)
	}
	p.c.Assert(os.WriteFile(e.config, []byte(text), 0o600), qt.IsNil)
	return e
}

// Ports of entry VMs lie below those that the kernel gives to outgoing connections,
// so that none takes the port of a process that is about to start.
const (
	firstPort = 20_000
	portRange = 12_000
)

// nextPort counts the ports tried, from a place that differs between test processes.
var nextPort = os.Getpid() * 41 % portRange

// freeAddress returns a loopback address that nobody listens on.
func freeAddress(c *qt.C) string {
	for range portRange {
		nextPort = (nextPort + 1) % portRange
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			c.Assert(listener.Close(), qt.IsNil)
			return address
		}
	}
	c.Fatal("no free port")
	return ""
}

// start starts the process of an entry VM.
func (p *processes) start(e *entry) {
	e.command = exec.Command(p.program, "serve", "--config", e.config)
	log, err := os.Create(filepath.Join(logFolder(p.c), fmt.Sprintf("%s-%d.log", e.id, e.incarnation)))
	p.c.Assert(err, qt.IsNil)
	e.command.Stderr = log
	p.c.Assert(e.command.Start(), qt.IsNil)
	p.c.Assert(log.Close(), qt.IsNil)
	e.incarnation++
	p.fleet.SetEntry(e.id, e.centre, e.internal, "live", e.incarnation)
}

// logFolder returns where the processes log: LOGS of the environment, or a
// folder that goes with the test.
func logFolder(c *qt.C) string {
	if folder := os.Getenv("FILBERTHAVEN_LOGS"); folder != "" {
		return folder
	}
	return c.TempDir()
}

// kill ends a process at once.
func (p *processes) kill(e *entry) {
	if e.command == nil {
		return
	}
	_ = e.command.Process.Signal(syscall.SIGCONT)
	_ = e.command.Process.Kill()
	_ = e.command.Wait()
	e.command = nil
}

// terminate ends a process in order and returns how long that took.
func (p *processes) terminate(e *entry) time.Duration {
	start := time.Now()
	p.c.Assert(e.command.Process.Signal(syscall.SIGTERM), qt.IsNil)
	p.c.Assert(e.command.Wait(), qt.IsNil)
	e.command = nil
	return time.Since(start)
}

// signal sends a signal, such as SIGSTOP for a pause.
func (p *processes) signal(e *entry, signal syscall.Signal) {
	p.c.Assert(e.command.Process.Signal(signal), qt.IsNil)
}
