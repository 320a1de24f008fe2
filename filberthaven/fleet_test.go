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

// buildBinary builds the program and returns its path.
func buildBinary(c *qt.C) string {
	path := filepath.Join(c.TempDir(), "filberthaven")
	args := []string{"build", "-o", path}
	if raceEnabled {
		args = append(args, "-race")
	}
	output, err := exec.Command("go", append(args, ".")...).CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", output))
	return path
}

// entry is an entry VM that runs as a process.
type entry struct {
	id, centre       string
	listen, internal string
	config           string    // path of the settings file
	command          *exec.Cmd // nil when the process does not run
	incarnation      uint64    // number of starts of the process so far
}

// processes is a fixture of a fleet whose entry VMs are real processes. The platform, the
// workers and the executors are fakes within the test process.
type processes struct {
	c        *qt.C
	program  string // path of the binary
	fleet    *launcher.Fleet
	entries  []*entry
	tlsFiles *tlsFiles // nil without TLS
	client   *http.Client
}

// newProcesses starts a fleet of nine entry VMs in three data centres.
func newProcesses(t *testing.T, withTLS bool, options ...launcher.Option) *processes {
	c := qt.New(t)
	fleet, err := launcher.New(t.Context(), append(options, launcher.WithoutEntries(), launcher.WithCentres(centres...))...)
	c.Assert(err, qt.IsNil)
	c.Cleanup(fleet.Close)
	p := &processes{c: c, program: buildBinary(c), fleet: fleet, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
	if withTLS {
		p.tlsFiles = newTLSFiles(c)
		p.client.Transport = &http.Transport{TLSClientConfig: p.tlsFiles.client(), MaxIdleConnsPerHost: 16}
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

// newEntry writes the settings file of an entry VM. It doesn't start the process.
func (p *processes) newEntry(id, centre string) *entry {
	e := &entry{id: id, centre: centre, listen: freeAddress(p.c), internal: freeAddress(p.c)}
	e.config = filepath.Join(p.c.TempDir(), id+".ini")
	settings := fmt.Sprintf("[vm]\nid = %s\ncentre = %s\nlisten = %s\ninternal = %s\n\n[platform]\naddress = %s\n\n[log]\nlevel = info\n",
		id, centre, e.listen, e.internal, p.fleet.Platform())
	for _, name := range centres {
		settings += fmt.Sprintf("\n[centre %q]\n", name)
	}
	if p.tlsFiles != nil {
		p.tlsFiles.issue(id)
		settings += p.tlsFiles.settings(id)
	}
	p.c.Assert(os.WriteFile(e.config, []byte(settings), 0o600), qt.IsNil)
	return e
}

// Ports of entry VMs lie below those that the kernel assigns to outgoing connections, so
// that no connection takes the port of a process that is about to start.
const (
	firstPort = 20_000
	portRange = 12_000
)

// nextPort is the offset of the last port tried. It starts at an offset that differs between
// test processes.
var nextPort = os.Getpid() * 41 % portRange

// freeAddress returns a loopback address that no process listens on now.
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

// start starts the process of an entry VM and adds it to the platform's list.
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

// logFolder returns the folder for the logs of the processes: the value of FILBERTHAVEN_LOGS,
// or a temporary folder of the test if that is not set.
func logFolder(c *qt.C) string {
	if folder := os.Getenv("FILBERTHAVEN_LOGS"); folder != "" {
		return folder
	}
	return c.TempDir()
}

// kill kills the process, also when it is paused.
func (p *processes) kill(e *entry) {
	if e.command == nil {
		return
	}
	_ = e.command.Process.Signal(syscall.SIGCONT)
	_ = e.command.Process.Kill()
	_ = e.command.Wait()
	e.command = nil
}

// terminate stops the process gracefully and returns how long that took.
func (p *processes) terminate(e *entry) time.Duration {
	start := time.Now()
	p.c.Assert(e.command.Process.Signal(syscall.SIGTERM), qt.IsNil)
	p.c.Assert(e.command.Wait(), qt.IsNil)
	e.command = nil
	return time.Since(start)
}

// signal sends a signal to the process, such as SIGSTOP to pause it.
func (p *processes) signal(e *entry, signal syscall.Signal) {
	p.c.Assert(e.command.Process.Signal(signal), qt.IsNil)
}
