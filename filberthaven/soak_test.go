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
	// soakTimeout bounds the wait for the end of all jobs after the last fault. It allows
	// for a loaded CI machine.
	soakTimeout = 60 * time.Second
)

// soak is a fixture of a fleet of entry processes on a simulated platform.
type soak struct {
	*qt.C
	platform *imitator.Platform
	program  string
	random   *rand.Rand
	client   *http.Client

	vms    []*soakVM
	deadly []deadlyJob
}

// deadlyJob is a job that crashes each executor that starts it.
type deadlyJob struct {
	id       string
	accepted bool
}

// deadlyCaller is the caller's number in the ids of these jobs.
const deadlyCaller = 0xdead

// soakVM is an entry VM. Each start runs a new process.
type soakVM struct {
	config, callers string // path of the settings file, and address for callers
	command         *exec.Cmd
	log             *os.File
}

// allPlanning switches on all parts of the section planning.
const allPlanning = "[planning]\nspeeds = yes\nspread = yes\nruntimes = yes\nbackfill = yes\npreempt = yes\ncopies = yes\n"

// TestEntrySoak kills, pauses and stops entry processes, makes the store unavailable, loses
// its responses, delays calls to executors or loses their responses, crashes and resizes
// executors, and submits jobs that crash them, while callers submit jobs. Every accepted job
// must complete, or fail if it crashes executors, no refused job may run, and no invariant
// of executors may be violated. For a longer run:
// go test -run EntrySoak . -soak 5m -soakseed 7
func TestEntrySoak(t *testing.T) {
	s := newSoak(t)
	done := make(chan struct{})
	var accepted, refused sync.Map
	var acceptedCount atomic.Int64
	var callers sync.WaitGroup
	for n := range soakCallers {
		callers.Go(func() { s.submitJobs(n, done, &accepted, &refused, &acceptedCount) })
	}
	for start := time.Now(); time.Since(start) < *soakTime; {
		s.injectFault()
	}
	s.platform.SetStoreFaults()
	s.platform.SetFaults(0, 0)
	close(done)
	callers.Wait()
	s.Assert(acceptedCount.Load() > 0, qt.IsTrue, qt.Commentf("nothing was accepted"))
	deadline := time.Now().Add(soakTimeout)
	accepted.Range(func(id, _ any) bool {
		s.awaitState(id.(string), "completed", deadline)
		return true
	})
	for _, job := range s.deadly {
		if job.accepted {
			s.awaitState(job.id, "failed", deadline)
		}
	}
	refused.Range(func(id, _ any) bool {
		s.Check(s.platform.JobStarted(id.(string)), qt.IsFalse, qt.Commentf("job %s ran though all attempts to submit it were refused", id))
		return true
	})
	s.Assert(s.platform.Violations(), qt.HasLen, 0)
	s.Logf("%d jobs accepted and completed, seed %d", acceptedCount.Load(), *soakSeed)
}

func newSoak(t *testing.T) *soak {
	c := qt.New(t)
	s := &soak{
		C: c, platform: imitator.New(*soakSeed), program: buildBinary(c), random: rand.New(rand.NewPCG(*soakSeed, 2)),
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
		config := fmt.Sprintf("[vm]\nid = vm%d\ncentre = a\ncallers = %s\nready = %s\ninternal = %s\ndrain = 100ms\n\n[platform]\nstore = %s\nadvice = %s\nlease = 2s\n\n"+allPlanning,
			n, v.callers, freeAddress(c), freeAddress(c), s.platform.StoreAddress, s.platform.AdviceAddress)
		c.Assert(os.WriteFile(v.config, []byte(config), 0o600), qt.IsNil)
		log, err := os.Create(filepath.Join(folder, fmt.Sprintf("vm%d.log", n)))
		c.Assert(err, qt.IsNil)
		v.log = log
		s.vms = append(s.vms, v)
		s.start(v)
	}
	c.Cleanup(func() {
		for _, v := range s.vms {
			s.stop(v, syscall.SIGKILL)
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

// stop sends a signal that ends the process of a VM, and waits until the process has ended.
func (s *soak) stop(v *soakVM, signal os.Signal) {
	s.Check(v.command.Process.Signal(signal), qt.IsNil)
	_ = v.command.Wait() // the exit status of a killed process does not matter
}

// injectFault injects one random fault and removes it after some time: one VM or all are
// killed, one is stopped or paused, the store is unavailable or loses responses, or calls
// to executors are delayed or lose their responses, an executor crashes or shrinks for a
// while, or a job comes that crashes executors. It returns after a further wait.
func (s *soak) injectFault() {
	v := s.vms[s.random.IntN(len(s.vms))]
	wait := time.Duration(200+s.random.IntN(1300)) * time.Millisecond
	executor := fmt.Sprintf("w%d", 1+s.random.IntN(soakWorkers-1)) // w0 is never advised
	switch s.random.IntN(10) {
	case 0:
		s.stop(v, syscall.SIGKILL)
		time.Sleep(wait)
		s.start(v)
	case 1:
		s.stop(v, syscall.SIGTERM)
		s.start(v)
	case 2:
		s.Assert(v.command.Process.Signal(syscall.SIGSTOP), qt.IsNil)
		time.Sleep(wait + time.Second)
		s.Assert(v.command.Process.Signal(syscall.SIGCONT), qt.IsNil)
	case 3:
		for _, vm := range s.vms {
			s.stop(vm, syscall.SIGKILL)
		}
		for _, vm := range s.vms {
			s.start(vm)
		}
	case 4:
		s.platform.SetStoreFaults(emulator.Down())
		time.Sleep(wait)
		s.platform.SetStoreFaults()
	case 5:
		s.platform.SetStoreFaults(emulator.LoseResponses(0.3))
		time.Sleep(wait)
		s.platform.SetStoreFaults()
	case 6:
		s.platform.SetFaults(0.1, 0.1)
		time.Sleep(wait)
		s.platform.SetFaults(0, 0)
	case 7:
		s.platform.CrashExecutor(executor, wait/4, wait/2)
	case 8:
		s.platform.ResizeExecutor(executor, 1000)
		time.Sleep(wait)
		s.platform.ResizeExecutor(executor, 4000)
	case 9:
		s.submitDeadly()
	}
	time.Sleep(wait)
}

// submitDeadly submits a job that crashes each executor that starts it, with one attempt.
func (s *soak) submitDeadly() {
	id := fmt.Sprintf("%08x%08x", deadlyCaller, len(s.deadly))
	status, _ := s.call(s.random.IntN(len(s.vms)), http.MethodPost, id, imitator.DeadlyJob)
	s.deadly = append(s.deadly, deadlyJob{id, status == http.StatusOK})
}

// call sends a caller's request and returns the status and the body. The status is 0 if
// there is no response.
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

// submitJobs submits jobs until done is closed, with up to four attempts for each. It
// records a job as accepted if an attempt was, and as refused if all four attempts were. A
// job of unknown outcome is recorded as neither.
func (s *soak) submitJobs(caller int, done <-chan struct{}, accepted, refused *sync.Map, acceptedCount *atomic.Int64) {
	for n := 0; ; n++ {
		id := fmt.Sprintf("%08x%08x", caller+1, n)
		allRefused := true
		for try := range 4 {
			select {
			case <-done:
				return
			default:
			}
			status, _ := s.call(caller+n+try, http.MethodPost, id, imitator.JobBody)
			if status == http.StatusOK {
				accepted.Store(id, true)
				acceptedCount.Add(1)
				break
			}
			allRefused = allRefused && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable)
			time.Sleep(100 * time.Millisecond)
		}
		if _, known := accepted.Load(id); !known && allRefused {
			refused.Store(id, true)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// awaitState waits until the job is reported to be in that state.
func (s *soak) awaitState(id, want string, deadline time.Time) {
	s.Helper()
	for n := 0; ; n++ {
		status, body := s.call(n, http.MethodGet, id, "")
		if imitator.JobState(body) == want {
			return
		}
		s.Assert(status, qt.Not(qt.Equals), http.StatusGone, qt.Commentf("accepted job %s is gone, seed %d", id, *soakSeed))
		if time.Now().After(deadline) {
			s.Fatalf("accepted job %s: %d %s, seed %d", id, status, body, *soakSeed)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
