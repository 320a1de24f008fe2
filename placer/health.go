package placer

import (
	"math"
	"time"
)

// Limits of the judgement of workers.
const (
	guiltyRuns    = 3    // failures, as weighted, before a worker may be quarantined
	guiltyRate    = 0.5  // least part of failures of a quarantined worker
	guiltyFactor  = 3    // its part of failures against that of the fleet
	shutPart      = 0.25 // most of the workers that are quarantined at one time
	doubtfulNodes = 2    // nodes on which a job without a success fails before the job is blamed
	healthMemory  = 10 * time.Minute
	probeBase     = 30 * time.Second
	probeMost     = 30 * time.Minute
)

// health is how the runs on a node ended lately.
type health struct {
	good, bad float64 // runs that succeeded and failed, fading with age
	at        int64   // when both were brought up to date; nanoseconds since 1970
	suspect   uint64  // serial of the job that failed first, 0 for none
	distinct  bool    // failures are of several jobs, or of one that succeeds elsewhere
	shut      bool    // quarantined
	probe     bool    // the time for one task on trial has come
	until     int64   // next trial; nanoseconds since 1970
	shutCount int     // quarantines without a success between
}

// admits reports whether a node with that many tasks takes one more.
func (h *health) admits(tasks int) bool { return !h.shut || h.probe && tasks == 0 }

// fleetHealth sums up the nodes.
type fleetHealth struct {
	health
	shut  int     // nodes that are quarantined
	nodes []*node // the same, in order
}

// record is how the runs of a job ended.
type record struct {
	good  int32
	nodes [doubtfulNodes]int32 // 1 + serial of the first nodes on which it failed
}

// blamed reports whether a failure on that node speaks against the job rather
// than the node: it failed on others as well and never succeeded.
func (r *record) blamed(serial int32) bool {
	for i, known := range r.nodes {
		if known == serial+1 {
			return false
		}
		if known == 0 {
			r.nodes[i] = serial + 1
			return false
		}
	}
	return r.good == 0
}

func (h *health) fade(now int64) {
	if past := now - h.at; past > 0 && h.at != 0 {
		keep := math.Exp(-float64(past) / float64(healthMemory))
		h.good *= keep
		h.bad *= keep
	}
	h.at = now
}

func (h *health) rate() float64 {
	if h.good+h.bad == 0 {
		return 0
	}
	return h.bad / (h.good + h.bad)
}

// judge notes the end of a run and reports whether the node is to blame.
func (p *Placer) judge(n *node, j *job, failed bool, now int64) bool {
	p.failures.fade(now)
	n.health.fade(now)
	if !failed {
		j.record.good++
		p.failures.good++
		n.health.good++
		p.heal(n)
		return false
	}
	if j.record.blamed(n.serial) {
		return false
	}
	p.failures.bad++
	n.health.bad++
	n.health.accuse(j)
	if n.health.shut {
		p.shut(n, now)
		return true
	}
	if p.condemned(n) {
		p.failures.shut++
		p.failures.nodes = append(p.failures.nodes, n)
		p.shut(n, now)
		return true
	}
	return false
}

func (h *health) accuse(j *job) {
	if h.suspect == 0 {
		h.suspect = j.serial
	}
	h.distinct = h.distinct || h.suspect != j.serial || j.record.good > 0
}

func (p *Placer) condemned(n *node) bool {
	h := &n.health
	if h.bad < guiltyRuns-0.5 || !h.distinct || float64(p.failures.shut+1) > shutPart*float64(len(p.nodes)) {
		return false
	}
	rest := health{good: p.failures.good - h.good, bad: p.failures.bad - h.bad}
	return h.rate() >= guiltyRate && h.rate() >= min(guiltyFactor*rest.rate(), 0.9)
}

func (p *Placer) shut(n *node, now int64) {
	h := &n.health
	h.shut, h.probe = true, false
	d := min(probeBase<<min(h.shutCount, maxDoublings), probeMost)
	h.until = now + int64(d/2) + p.random.Int64N(int64(d/2)+1)
	h.shutCount++
	p.dropHolds(n)
	p.reindex(n)
}

// heal returns a quarantined node whose trial succeeded.
func (p *Placer) heal(n *node) {
	if !n.health.shut {
		return
	}
	n.health = health{good: n.health.good, at: n.health.at}
	p.failures.shut--
	p.failures.drop(n)
	p.released = true
	p.reindex(n)
}

func (f *fleetHealth) drop(n *node) {
	for i, o := range f.nodes {
		if o == n {
			f.nodes = append(f.nodes[:i], f.nodes[i+1:]...)
			return
		}
	}
}

// trial lets quarantined nodes whose time has come take one task.
func (p *Placer) trial(now int64) {
	for _, n := range p.failures.nodes {
		if !n.health.probe && n.health.until <= now {
			n.health.probe = true
			p.released = true
			p.reindex(n)
		}
	}
}

// QuarantinedWorkers returns the identifiers of the workers that are quarantined, in the
// order in which they were.
func (p *Placer) QuarantinedWorkers() []string {
	var ids []string
	for _, n := range p.failures.nodes {
		ids = append(ids, n.worker.id)
	}
	return ids
}
