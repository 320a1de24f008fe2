package placer

import (
	"github.com/google/btree"
)

// treeDegree is the degree of the B-trees of queued jobs.
const treeDegree = 16

// unlimited is the quota of a team without a limit.
const unlimited = -1

// team is a team with its jobs and its use of the workers.
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
	backlog      float64    // work of its tasks that wait, by learned run times; thousandths of a processor times seconds
	arrivedWork  float64    // work accepted since the last update of arrivalRate, in the unit of backlog
	arrivalRate  float64    // work accepted per second, in the unit of backlog, averaged over arrivalWindow
	remoteUsed   Resources  // resources that it uses in other shards
	remoteShare  float64    // remoteUsed as a dominant share of the workers here
	maxShare     float64    // dominant share that it could use within its quota
	mix          [3]float64 // fractions of all processors, memory and accelerators that go with a dominant share of 1
	queues       [lanes]*btree.BTreeG[*job]
	jobs         []*job
	share        float64       // dominant share of the workers that it uses now
	fairShare    float64       // dominant share due to it, as of the last update of shares
	deficit      float64       // dominant share that it lacked lately, averaged over deficitWindow
	blockedIn    [lanes]uint64 // serial of the last cycle in which no job of the lane could start a task
	resumeAt     [lanes]*job   // job at which the last scan of the lane stopped at a limit, else nil
	blockingGang *job          // gang that waits for the quota; the team's deferred and best-effort tasks wait for this gang
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
