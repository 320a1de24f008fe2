package main_test

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"filberthaven.example/emulator"
	"filberthaven.example/platform/imitator"
	qt "github.com/frankban/quicktest"
)

var (
	soakTime = flag.Duration("soak", 8*time.Second, "how long TestEntrySoak injects faults")
	soakSeed = flag.Uint64("soakseed", 1, "seed of the faults of TestEntrySoak")
)

const (
	soakVMs     = 5
	soakWorkers = 6
	soakCallers = 6
	// soakPatience is how long after the faults the last job may take, on a loaded
	// CI machine.
	soakPatience = 60 * time.Second
)

// soak is a fleet of real entry processes on an imitated platform.
type soak struct {
	*qt.C
	platform *imitator.Platform
	program  string
	random   *rand.Rand
	client   *http.Client

	vms []*soakVM
}

// soakVM is one entry VM, whose process may change.
type soakVM struct {
	config, callers string
	command         *exec.Cmd
	log             *os.File
}

// TestEntrySoak kills, freezes and stops entry processes, takes the store away,
// loses its answers and has orders carried out late, while callers hand jobs in. All
// that was accepted completes, nothing that was refused runs, and no promise to
// executors is broken. Longer: go test -run EntrySoak . -soak 5m -soakseed 7
func TestEntrySoak(t *testing.T) {
	s := newSoak(t)
	ended := make(chan struct{})
	var accepted, refused sync.Map
	var count atomic.Int64
	var callers sync.WaitGroup
	for n := range soakCallers {
		callers.Go(func() { s.handIn(n, ended, &accepted, &refused, &count) })
	}
	for begun := time.Now(); time.Since(begun) < *soakTime; {
		s.fault()
	}
	s.platform.SetStoreFaults()
	s.platform.SetFaults(0, 0)
	close(ended)
	callers.Wait()
	s.Assert(count.Load() > 0, qt.IsTrue, qt.Commentf("nothing was accepted"))
	deadline := time.Now().Add(soakPatience)
	accepted.Range(func(id, _ any) bool {
		s.completes(id.(string), deadline)
		return true
	})
	refused.Range(func(id, _ any) bool {
		s.Check(s.platform.Ran(id.(string)), qt.IsFalse, qt.Commentf("job %s ran though all its tries were refused", id))
		return true
	})
	s.Assert(s.platform.Violations(), qt.HasLen, 0)
	s.Logf("%d jobs accepted and completed, seed %d", count.Load(), *soakSeed)
}

func newSoak(t *testing.T) *soak {
	c := qt.New(t)
	s := &soak{
		C: c, platform: imitator.New(*soakSeed), program: binary(c), random: rand.New(rand.NewPCG(*soakSeed, 2)),
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	c.Cleanup(s.platform.Close)
	c.Assert(s.platform.Configure(1), qt.IsNil)
	for n := range soakWorkers {
		c.Assert(s.platform.AddExecutor(fmt.Sprintf("w%d", n), "s", "a", 4000), qt.IsNil)
	}
	folder := logFolder(c)
	for n := range soakVMs {
		v := &soakVM{config: filepath.Join(c.TempDir(), fmt.Sprintf("vm%d.ini", n)), callers: freeAddress(c)}
		text := fmt.Sprintf("[vm]\nid = vm%d\ncentre = a\ncallers = %s\nready = %s\ninternal = %s\ndrain = 100ms\n\n[platform]\nstore = %s\nadvice = %s\nlease = 2s\n",
			n, v.callers, freeAddress(c), freeAddress(c), s.platform.StoreAddress, s.platform.AdviceAddress)
		c.Assert(os.WriteFile(v.config, []byte(text), 0o600), qt.IsNil)
		log, err := os.Create(filepath.Join(folder, fmt.Sprintf("vm%d.log", n)))
		c.Assert(err, qt.IsNil)
		v.log = log
		s.vms = append(s.vms, v)
		s.start(v)
	}
	c.Cleanup(func() {
		for _, v := range s.vms {
			s.end(v, syscall.SIGKILL)
			_ = v.log.Close()
		}
	})
	return s
}

func (s *soak) start(v *soakVM) {
	v.command = exec.Command(s.program, "entry", "--config", v.config)
	v.command.Stdout, v.command.Stderr = v.log, v.log
	s.Assert(v.command.Start(), qt.IsNil)
}

// end ends the process of a VM and waits for it.
func (s *soak) end(v *soakVM, signal os.Signal) {
	s.Check(v.command.Process.Signal(signal), qt.IsNil)
	_ = v.command.Wait() // how a killed process ends is of no interest
}

// fault injects one fault and takes it back.
func (s *soak) fault() {
	v := s.vms[s.random.IntN(len(s.vms))]
	wait := time.Duration(200+s.random.IntN(1300)) * time.Millisecond
	switch s.random.IntN(7) {
	case 0:
		s.end(v, syscall.SIGKILL)
		time.Sleep(wait)
		s.start(v)
	case 1:
		s.end(v, syscall.SIGTERM)
		s.start(v)
	case 2:
		s.Assert(v.command.Process.Signal(syscall.SIGSTOP), qt.IsNil)
		time.Sleep(wait + time.Second)
		s.Assert(v.command.Process.Signal(syscall.SIGCONT), qt.IsNil)
	case 3:
		for _, each := range s.vms {
			s.end(each, syscall.SIGKILL)
		}
		for _, each := range s.vms {
			s.start(each)
		}
	case 4:
		s.platform.SetStoreFaults(emulator.Down())
		time.Sleep(wait)
		s.platform.SetStoreFaults()
	case 5:
		s.platform.SetStoreFaults(emulator.LoseAnswers(0.3))
		time.Sleep(wait)
		s.platform.SetStoreFaults()
	case 6:
		s.platform.SetFaults(0.1, 0.1)
		time.Sleep(wait)
		s.platform.SetFaults(0, 0)
	}
	time.Sleep(wait)
}

// call makes a caller's request and returns the status, 0 without an answer, and
// the body.
func (s *soak) call(n int, method, id, body string) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+s.vms[n%len(s.vms)].callers+imitator.QueuePrefix+id, strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = imitator.Host
	request.Header.Set("Authorization", "Bearer "+imitator.APIKey)
	response, err := s.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, bytes.TrimSpace(data)
}

// handIn hands jobs in until ended, and gives each up after some tries. One of which
// all tries were refused is noted as such; one whose outcome is unknown as neither.
func (s *soak) handIn(caller int, ended <-chan struct{}, accepted, refused *sync.Map, count *atomic.Int64) {
	for n := 0; ; n++ {
		id := fmt.Sprintf("%08x%08x", caller+1, n)
		sure := true
		for try := range 4 {
			select {
			case <-ended:
				return
			default:
			}
			status, _ := s.call(caller+n+try, http.MethodPost, id, imitator.JobBody)
			if status == http.StatusOK {
				accepted.Store(id, true)
				count.Add(1)
				break
			}
			sure = sure && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable)
			time.Sleep(100 * time.Millisecond)
		}
		if _, in := accepted.Load(id); !in && sure {
			refused.Store(id, true)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// completes waits until the job is shown as completed.
func (s *soak) completes(id string, deadline time.Time) {
	s.Helper()
	for n := 0; ; n++ {
		status, body := s.call(n, http.MethodGet, id, "")
		if imitator.JobState(body) == "completed" {
			return
		}
		s.Assert(status, qt.Not(qt.Equals), http.StatusGone, qt.Commentf("accepted job %s is gone, seed %d", id, *soakSeed))
		if time.Now().After(deadline) {
			s.Fatalf("accepted job %s: %d %s, seed %d", id, status, body, *soakSeed)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
