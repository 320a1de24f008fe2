package scheduler_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"filberthaven.example/dispatcher"
	"filberthaven.example/emulator"
	"filberthaven.example/placer"
	qt "github.com/frankban/quicktest"
)

// fillerTime is the run time of the jobs that keep all workers busy at first.
const fillerTime = 10 * time.Second

// TestGuards shows that each guard is needed: the same steps keep all invariants with the
// guard, and violate one without it.
func TestGuards(t *testing.T) {
	for _, test := range []struct {
		name      string
		guards    guards
		run       func(cl *cluster, s *clusterShard)
		violation string // part of the text that a run without the guard gives
	}{
		{"fence", guards{noFence: true}, twoOwners, "in two places"},
		{"pause until all workers are fenced", guards{noPause: true}, unrecordedStart, "in two places"},
		{"wait for the lease", guards{noLeaseWait: true}, unreachableWorker, "in two places"},
		{"record before the start", guards{noStartRecord: true}, lostStart, "started 2 times"},
		{"proof of ownership", guards{noOwnershipProof: true}, disjointOwners, "in two places"},
	} {
		t.Run(test.name+"/on", func(t *testing.T) {
			qt.New(t).Assert(runSteps(t, guards{}, test.run), qt.HasLen, 0)
		})
		t.Run(test.name+"/off", func(t *testing.T) {
			qt.New(t).Assert(anyRunViolates(t, test.guards, test.run, test.violation), qt.IsTrue)
		})
	}
}

// unguardedTries is how often a run without a guard is tried. Which owner's order
// comes first depends on the scheduling of goroutines, which no seed fixes.
const unguardedTries = 10

// anyRunViolates reports whether one of several runs has the violation.
func anyRunViolates(t *testing.T, g guards, run func(*cluster, *clusterShard), violation string) bool {
	for range unguardedTries {
		if strings.Contains(strings.Join(runSteps(t, g, run), "\n"), violation) {
			return true
		}
	}
	return false
}

// runSteps returns the violations in a run of fixed steps, after the cluster has
// healed.
func runSteps(t *testing.T, g guards, run func(*cluster, *clusterShard)) (violations []string) {
	synctest.Test(t, func(*testing.T) {
		cl := newCluster(g, func(dispatcher.Attempt) bool { return false })
		for _, name := range cl.shardNames {
			cl.takeOver(cl.shards[name])
		}
		time.Sleep(time.Second)
		run(cl, cl.shards["a.0"])
		cl.heal()
		time.Sleep(recoveryTime)
		violations = cl.findViolations()
		cl.stop()
	})
	return violations
}

// submitFullSize submits a job whose tasks take a whole worker each, and waits a second.
func (cl *cluster) submitFullSize(s *clusterShard, name string, tasks int, d time.Duration, options ...placer.JobOption) {
	options = append([]placer.JobOption{placer.WithName(name), placer.WithTasks(tasks), placer.WithEstimate(d)}, options...)
	cl.submit(s, placer.NewJobSpec(name, "free", placer.NewResources(workerCPU, 1024, 0), options...), "")
	time.Sleep(time.Second)
}

// busyWorker returns the first worker that runs a task, or the first worker if none does.
func (s *clusterShard) busyWorker() *emulator.Worker {
	for _, worker := range s.workers {
		if worker.Running() > 0 {
			return worker
		}
	}
	return s.workers[0]
}

// twoOwners makes another owner take over while the first, which can't reach the key-value
// service, stays active.
func twoOwners(cl *cluster, s *clusterShard) {
	cl.submitFullSize(s, "filler", workersPerShard, fillerTime)
	cl.submitFullSize(s, "job", 2, time.Minute)
	s.newest().client.SetFaults(emulator.Down())
	time.Sleep(2 * time.Second)
	cl.takeOver(s)
	time.Sleep(2 * fillerTime)
}

// unrecordedStart kills an owner that has started a task while the key-value service
// was down. Its successor doesn't reach the worker of that task.
func unrecordedStart(cl *cluster, s *clusterShard) {
	cl.submitFullSize(s, "filler", workersPerShard, fillerTime)
	cl.submitFullSize(s, "job", 1, time.Minute)
	s.newest().client.SetFaults(emulator.Down())
	time.Sleep(2 * fillerTime)
	replaceOwner(cl, s)
}

// unreachableWorker replaces the owner by one that doesn't reach a worker that runs a
// task.
func unreachableWorker(cl *cluster, s *clusterShard) {
	cl.submitFullSize(s, "job", 1, time.Minute)
	replaceOwner(cl, s)
}

// replaceOwner kills the owner. Its successor doesn't reach the busy worker.
func replaceOwner(cl *cluster, s *clusterShard) {
	s.unreachable = s.busyWorker().ID()
	s.newest().kill()
	cl.takeOver(s)
	time.Sleep(3 * fillerTime)
}

// lostStart lets a non-idempotent task become due while the key-value service is down.
// Then it kills the owner and restarts the worker, so that a start without a record would
// be known to nobody.
func lostStart(cl *cluster, s *clusterShard) {
	cl.submitFullSize(s, "filler", workersPerShard, fillerTime)
	cl.submitFullSize(s, "job", 1, time.Minute, placer.WithNonIdempotent())
	s.newest().client.SetFaults(emulator.Down())
	time.Sleep(2 * fillerTime)
	worker := s.busyWorker()
	s.newest().kill()
	worker.Restart()
	cl.takeOver(s)
	time.Sleep(fillerTime)
}

// disjointOwners makes another owner take over, which reaches all workers but one. The
// first owner stays active, but reaches only that worker, and not the key-value service.
func disjointOwners(cl *cluster, s *clusterShard) {
	cl.submitFullSize(s, "job", 1, time.Minute)
	s.unreachable = s.busyWorker().ID()
	old := s.newest()
	old.client.SetFaults(emulator.Down())
	for _, worker := range s.workers {
		old.partition(worker.ID(), worker.ID() != s.unreachable, false)
	}
	cl.takeOver(s)
	time.Sleep(3 * fillerTime)
}

// TestAcknowledgement guards against acknowledging the end of a run that is not
// persisted: the next owner would run a non-idempotent task again. An owner without the
// key-value service is partitioned from its workers until their leases have expired. Then
// it reads their state while its journal is still down, and another owner takes over.
func TestAcknowledgement(t *testing.T) {
	violations := runSteps(t, guards{}, func(cl *cluster, s *clusterShard) {
		cl.submitFullSize(s, "job", 1, time.Minute, placer.WithNonIdempotent())
		old := s.newest()
		old.client.SetFaults(emulator.Down())
		for _, worker := range s.workers {
			old.partition(worker.ID(), true, true)
		}
		time.Sleep(2 * fillerTime)
		for _, worker := range s.workers {
			old.partition(worker.ID(), false, false)
		}
		time.Sleep(fillerTime)
		cl.takeOver(s)
		time.Sleep(fillerTime)
	})
	qt.New(t).Assert(violations, qt.HasLen, 0)
}
