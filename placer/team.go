package placer

import (
	"github.com/google/btree"
)

// treeDegree is the degree of the B-trees of queued jobs.
const treeDegree = 16

// unlimited is the quota of a team without a limit.
const unlimited = -1

// team holds the jobs of a team and its share of the workers.
type team struct {
	name         string
	weight       float64    // above 0
	quota        int64      // limit here in thousandths of a processor; unlimited when negative
	used         Resources  // sum of the sizes of its tasks on nodes
	serviceCPU   int64      // processors of its service tasks on nodes, in thousandths
	reserved     Resources  // sum of the sizes of its reservations
	pending      int        // tasks that wait, including those in back-off
	demand       Resources  // sum of the sizes of its tasks that wait
	active       int        // tasks on nodes
	backlog      float64    // learned work of its tasks that wait, in thousandths of a processor times seconds
	arrived      float64    // learned work accepted since the last update of arrivalRate, in the same unit
	arrivalRate  float64    // learned work accepted per second, averaged over arrivalWindow
	remoteUsed   Resources  // what it uses in other shards
	remoteShare  float64    // remoteUsed as a dominant share of the workers here
	maxShare     float64    // dominant share that it could use within its quota
	mix          [3]float64 // fractions of all processors, memory and accelerators per unit of dominant share
	queues       [lanes]*btree.BTreeG[*job]
	jobs         []*job
	share        float64       // dominant share of the workers that it uses now
	fairShare    float64       // dominant share due to it, as of the last update of shares
	deficit      float64       // dominant share that it lacked lately, averaged over deficitWindow
	blockedIn    [lanes]uint64 // serial of the last cycle in which no job of the lane could start a task
	resume       [lanes]*job   // job from which the next search of a long lane goes on
	blockingGang *job          // gang that waits for the quota; deferred and best-effort tasks wait for it
}

func newTeam(name string) *team {
	t := &team{name: name, weight: 1, quota: unlimited}
	for i := range t.queues {
		t.queues[i] = btree.NewG(treeDegree, (*job).less)
	}
	return t
}

// allows reports whether the quota allows an additional amount of processors, in
// thousandths.
func (t *team) allows(cpu int64) bool {
	return t.quota < 0 || t.used.cpu+t.reserved.cpu+cpu <= t.quota
}

// enqueue adds the job to the queue of its lane if it has tasks that may start.
func (t *team) enqueue(j *job) {
	if j.queued || j.pending == 0 || j.paused || j.cancelled {
		return
	}
	j.queued = true
	t.queues[j.lane].ReplaceOrInsert(j)
}

// dequeue takes the job out of the queue of its lane.
func (t *team) dequeue(j *job) {
	if !j.queued {
		return
	}
	j.queued = false
	t.queues[j.lane].Delete(j)
}

// move puts the job into a lane, ordered by its latest start.
func (t *team) move(j *job, to lane, latest int64) {
	t.dequeue(j)
	j.lane, j.latestStart = to, latest
	t.enqueue(j)
}

func (t *team) addJob(j *job) {
	j.position = int32(len(t.jobs))
	t.jobs = append(t.jobs, j)
}

func (t *team) removeJob(j *job) {
	last := len(t.jobs) - 1
	t.jobs[j.position] = t.jobs[last]
	t.jobs[j.position].position = j.position
	t.jobs[last] = nil
	t.jobs = t.jobs[:last]
}
