package placer

import (
	"github.com/google/btree"
)

// treeDegree is the degree of the trees of queued jobs.
const treeDegree = 16

// unlimited is the allotment of a team without an upper limit.
const unlimited = -1

// team is a payer of jobs.
type team struct {
	name      string
	weight    float64 // above 0
	allotment int64   // thousandths of a processor; unlimited when negative
	used      Resources
	stay      int64      // thousandths of a processor of its service tasks on nodes
	held      Resources  // sum of the sizes of its holds
	pending   int        // tasks that wait, delayed ones too
	demand    Resources  // sum of the sizes of pending tasks that may start
	active    int        // tasks on nodes
	backlog   float64    // learned work of tasks that wait, in thousandths of a processor times seconds
	arrived   float64    // learned work accepted since the last reckoning, in the same unit
	inflow    float64    // the same for each second, over inflowMemory
	elsewhere Resources  // used in other shards
	foreign   float64    // elsewhere as a dominant share of the workers here
	wish      float64    // dominant share that it could use, at most its allotment
	mix       [3]float64 // processors, memory, accelerators for a unit of wish
	queues    [lanes]*btree.BTreeG[*job]
	jobs      []*job
	share     float64       // dominant share of the capacity that it uses now
	ideal     float64       // dominant share that is due to it now
	deficit   float64       // what it lacked lately, as a dominant share
	tried     [lanes]uint64 // round in which a lane found no room
	resume    [lanes]*job   // where the next search of a long lane goes on
	gang      *job          // gang that waits for the allotment; others of the team wait too
}

func newTeam(name string) *team {
	t := &team{name: name, weight: 1, allotment: unlimited}
	for i := range t.queues {
		t.queues[i] = btree.NewG(treeDegree, (*job).less)
	}
	return t
}

// allows reports whether the allotment has room for that many processors more.
func (t *team) allows(cpu int64) bool {
	return t.allotment < 0 || t.used.cpu+t.held.cpu+cpu <= t.allotment
}

func (t *team) enqueue(j *job) {
	if j.queued || j.pending == 0 || j.paused || j.cancelled {
		return
	}
	j.queued = true
	t.queues[j.lane].ReplaceOrInsert(j)
}

func (t *team) dequeue(j *job) {
	if !j.queued {
		return
	}
	j.queued = false
	t.queues[j.lane].Delete(j)
}

// move puts the job into another lane or another place of its lane.
func (t *team) move(j *job, to lane, latest int64) {
	t.dequeue(j)
	j.lane, j.latest = to, latest
	t.enqueue(j)
}

func (t *team) addJob(j *job) {
	j.at = int32(len(t.jobs))
	t.jobs = append(t.jobs, j)
}

func (t *team) removeJob(j *job) {
	last := len(t.jobs) - 1
	t.jobs[j.at] = t.jobs[last]
	t.jobs[j.at].at = j.at
	t.jobs[last] = nil
	t.jobs = t.jobs[:last]
}
