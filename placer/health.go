package placer

import (
	"math"
	"time"
)

// Limits for the quarantine of workers.
const (
	quarantineMinFailures = 3                // fewest failed runs, rounded after weighting by age, for a quarantine
	quarantineMinRate     = 0.5              // lowest failure rate for a quarantine
	quarantineRateFactor  = 3                // lowest ratio of a worker's failure rate to that of the others
	maxQuarantinedPart    = 0.25             // fraction of the workers that may be quarantined at the same time
	jobFaultNodes         = 2                // number of nodes; a job that failed on this many without a success is at fault for failures on others
	healthDecay           = 10 * time.Minute // age at which the weight of a run is 1/e
	minCoolDown           = 30 * time.Second // cool-down of the first quarantine
	maxCoolDown           = 30 * time.Minute
)

// health records how recent runs on a node ended.
type health struct {
	succeeded, failed   float64 // number of runs, weighted by age
	updatedAt           int64   // time of the last decay of these numbers; nanoseconds since 1970
	firstFailedJob      uint64  // serial of the first job that failed here, 0 for none
	independentFailures bool    // more than one job failed here, or a job that had succeeded before; a single faulty job is ruled out as the cause
	quarantined         bool
	trialAllowed        bool  // the cool-down is over: one task may run on trial
	trialAt             int64 // end of the cool-down; nanoseconds since 1970
	quarantines         int   // in a row, without a success between them
}

// admits reports whether the quarantine, if any, lets a node take one more task. The node
// has the given number of tasks already.
func (h *health) admits(tasks int) bool { return !h.quarantined || h.trialAllowed && tasks == 0 }

// fleetHealth sums up the health of all nodes.
type fleetHealth struct {
	health                   // only the weighted numbers of runs are used
	quarantinedCount int     // length of quarantinedNodes
	quarantinedNodes []*node // in the order of their quarantine
}

// runRecord records how the runs of a job ended.
type runRecord struct {
	succeeded int32                // runs that succeeded
	failedOn  [jobFaultNodes]int32 // 1 + serial of the first nodes on which it failed
}

// recordFailure records a failure on the node with the given serial number. It reports whether the job
// rather than the node is at fault: the job never succeeded, and it failed on jobFaultNodes
// other nodes before.
func (r *runRecord) recordFailure(serial int32) bool {
	for i, known := range r.failedOn {
		if known == serial+1 {
			return false
		}
		if known == 0 {
			r.failedOn[i] = serial + 1
			return false
		}
	}
	return r.succeeded == 0
}

// decay reduces the weight of past runs by their age.
func (h *health) decay(now int64) {
	if elapsed := now - h.updatedAt; elapsed > 0 && h.updatedAt != 0 {
		keep := math.Exp(-float64(elapsed) / float64(healthDecay))
		h.succeeded *= keep
		h.failed *= keep
	}
	h.updatedAt = now
}

// failureRate returns the fraction of runs that failed, 0 without runs.
func (h *health) failureRate() float64 {
	if h.succeeded+h.failed == 0 {
		return 0
	}
	return h.failed / (h.succeeded + h.failed)
}

// recordOutcome records the end of a run. A success ends a quarantine of the node. A failure
// that isn't the job's fault may start one or extend it. recordOutcome reports whether it
// did, which means that the node is at fault.
func (p *Placer) recordOutcome(n *node, j *job, failed bool, now int64) bool {
	p.health.decay(now)
	n.health.decay(now)
	if !failed {
		j.runs.succeeded++
		p.health.succeeded++
		n.health.succeeded++
		p.reinstate(n)
		return false
	}
	if j.runs.recordFailure(n.serial) {
		return false
	}
	p.health.failed++
	n.health.failed++
	n.health.recordFailedJob(j)
	if n.health.quarantined {
		p.quarantine(n, now)
		return true
	}
	if p.shouldQuarantine(n) {
		p.health.quarantinedCount++
		p.health.quarantinedNodes = append(p.health.quarantinedNodes, n)
		p.quarantine(n, now)
		return true
	}
	return false
}

// recordFailedJob updates independentFailures after a failure of the job.
func (h *health) recordFailedJob(j *job) {
	if h.firstFailedJob == 0 {
		h.firstFailedJob = j.serial
	}
	h.independentFailures = h.independentFailures || h.firstFailedJob != j.serial || j.runs.succeeded > 0
}

// shouldQuarantine reports whether the node meets all conditions for a quarantine. With a
// failure rate of at least 0.9 the rate of the other nodes doesn't matter.
func (p *Placer) shouldQuarantine(n *node) bool {
	h := &n.health
	if h.failed < quarantineMinFailures-0.5 || !h.independentFailures || float64(p.health.quarantinedCount+1) > maxQuarantinedPart*float64(len(p.nodes)) {
		return false
	}
	rest := health{succeeded: p.health.succeeded - h.succeeded, failed: p.health.failed - h.failed}
	return h.failureRate() >= quarantineMinRate && h.failureRate() >= min(quarantineRateFactor*rest.failureRate(), 0.9)
}

// quarantine keeps new tasks off the node until a cool-down has passed. The cool-down
// doubles with each quarantine in a row. A random part of it applies, at least half.
func (p *Placer) quarantine(n *node, now int64) {
	h := &n.health
	h.quarantined, h.trialAllowed = true, false
	coolDown := min(minCoolDown<<min(h.quarantines, maxDoublings), maxCoolDown)
	h.trialAt = now + int64(coolDown/2) + p.random.Int64N(int64(coolDown/2)+1)
	h.quarantines++
	p.releaseNode(n)
	p.reindex(n)
}

// reinstate ends the quarantine of a node, if any, after a run there succeeded.
func (p *Placer) reinstate(n *node) {
	if !n.health.quarantined {
		return
	}
	n.health = health{succeeded: n.health.succeeded, updatedAt: n.health.updatedAt}
	p.health.quarantinedCount--
	p.health.remove(n)
	p.passNeeded = true
	p.reindex(n)
}

// remove takes the node out of quarantinedNodes. The caller updates quarantinedCount.
func (f *fleetHealth) remove(n *node) {
	for i, o := range f.quarantinedNodes {
		if o == n {
			f.quarantinedNodes = append(f.quarantinedNodes[:i], f.quarantinedNodes[i+1:]...)
			return
		}
	}
}

// allowTrials lets quarantined nodes take one task on trial when their cool-down is over.
func (p *Placer) allowTrials(now int64) {
	for _, n := range p.health.quarantinedNodes {
		if !n.health.trialAllowed && n.health.trialAt <= now {
			n.health.trialAllowed = true
			p.passNeeded = true
			p.reindex(n)
		}
	}
}

// QuarantinedWorkers returns the identifiers of the quarantined workers, in the order of
// their quarantine.
func (p *Placer) QuarantinedWorkers() []string {
	var ids []string
	for _, n := range p.health.quarantinedNodes {
		ids = append(ids, n.worker.id)
	}
	return ids
}
