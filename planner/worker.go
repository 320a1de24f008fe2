package planner

import (
	"cmp"
	"slices"
	"time"

	"filberthaven.example/placer"
	"filberthaven.example/profiler"
)

// Registration is a worker's entry in the platform's list.
type Registration struct {
	ID          string
	Address     string
	Centre      string // data centre
	Service     string
	Draining    bool
	Incarnation int64 // Unix ms of the worker's start
	Capacity    placer.Resources
	Labels      []string // kind and rack, in this order
}

func (r Registration) equal(o Registration) bool {
	return r.ID == o.ID && r.Address == o.Address && r.Centre == o.Centre && r.Service == o.Service &&
		r.Draining == o.Draining && r.Incarnation == o.Incarnation && r.Capacity == o.Capacity && slices.Equal(r.Labels, o.Labels)
}

// worker is one executor of tasks.
type worker struct {
	reg                 Registration
	listed              bool             // the platform's list has it
	allocated           placer.Resources // sum of the sizes of runs
	runs                map[runKey]*run
	lastSerial          uint64        // serial of the newest end applied; 0 at the start of an incarnation
	endsUnread          bool          // its newest list of ends was cut off
	earlierOwnersFenced bool          // orders of earlier owners no longer have an effect on it: it has answered this owner or restarted, or all older leases have expired
	leaseExpiry         time.Duration // when every lease given to the worker has certainly expired; 0 before the first
	lateLeaseExpiry     time.Duration // when the leases of calls without an answer have certainly expired, if the next incarnation executes these late; 0 if there are none
	heartbeatTried      bool          // a heartbeat of this owner has been answered or missed
	unansweredCalls     int           // in a row
	silentSince         time.Duration // when a decision first found it without an answer since its last one; else 0
	restarted           bool          // its known incarnation, not the first one, has not answered yet, or the doubted one may have followed
	incarnationSeenAt   time.Duration // when its known incarnation became known
	entryIncarnation    int64         // that its newest entry names, of which reg has the capacity and the labels; 0 if none
	earlier             []int64       // incarnations that the known one has followed, the newest ones last
	doubted             int64         // incarnation that an entry has named, and that is the known one's predecessor or successor; else 0
	doubtedAt           time.Duration // when that entry was read
	doubtedEntry        Registration  // that entry; zero if doubted is 0
	health              health
	pruned              bool          // it was removed from the planner
	reservedFor         *step         // step for which the current decision has reserved this worker, else nil
	reservedIn          uint64        // newest decision that reserved it; 0 if none has
	reservedSince       time.Duration // when the first of the successive decisions was made that reserved it, the last of which is reservedIn
	notReservedBefore   time.Duration // reserve leaves it out until then
	reservationPause    time.Duration // the newest such time; 0 once a step has started where it had reserved
	keptFor             *step         // step for whose suspects nothing else starts on this worker, else nil
	separateRuns        int           // runs beside which no others may start
	lastAnswerAt        time.Duration // when the newest call was sent that this incarnation has answered
	closedAt            time.Duration // when its machine first refused or closed a connection, or answered for another worker, since its last answer; else 0
	lossNoted           bool          // the loss of its known incarnation counts towards the rate of crashes
	open                bool          // tasks may start on it; set at the beginning of each decision
	soonFree            soonFree
	speed               *profiler.Worker // of its known incarnation; nil if nothing is known
	share               gangShare        // of the reservation that holds it in the current decision
	releases            []release        // as releasesOf returns them
	releasesIn          uint64           // decision in which releases was computed
	madeRoomIn          uint64           // newest decision in which room was being made on it
	claimedIn           uint64           // newest decision in which claimed counts
	claimed             placer.Resources // room, there soon, for which urgent steps wait instead of stopping runs
}

// runKey identifies a run on a worker.
type runKey struct {
	task   string
	number int
}

// acceptsTasks reports whether the worker's own state lets tasks start on it.
func (w *worker) acceptsTasks(now time.Duration) bool {
	return w.listed && w.earlierOwnersFenced && !w.reg.Draining && !w.restarted && !w.isEntryOutdated() && !w.isSilent() && w.health.allowsStarts(now)
}

// isSilent reports whether nothing starts on the worker until it answers.
func (w *worker) isSilent() bool { return w.unansweredCalls >= maxUnansweredCalls }

// noteSilence notes at a decision since when the worker has been silent.
func (w *worker) noteSilence(now time.Duration) {
	switch {
	case !w.isSilent():
		w.silentSince = 0
	case w.silentSince == 0:
		w.silentSince = now
	}
}

// expectedSilence returns how much longer a silent worker is expected to be so: as long again
// as it has been.
func (w *worker) expectedSilence(now time.Duration) time.Duration {
	if !w.isSilent() {
		return 0
	}
	return max(minSilence, now-cmp.Or(w.silentSince, now))
}

// isEntryOutdated reports whether its capacity and labels are those of another incarnation. The
// known one may be of another kind.
func (w *worker) isEntryOutdated() bool {
	return w.entryIncarnation != 0 && w.reg.Incarnation != 0 && w.entryIncarnation != w.reg.Incarnation
}

// maxUnansweredCalls is the number of unanswered calls in a row from which nothing starts
// on a worker until it answers. An order sent into a partition would arrive late.
const maxUnansweredCalls = 1

// minSilence is the shortest time for which a silent worker is expected to stay so.
const minSilence = 5 * time.Second

// free returns the capacity that is not allocated to any run.
func (w *worker) free() placer.Resources { return w.reg.Capacity.Sub(w.allocated) }

// reserveWorker reserves a worker for a step for the rest of the decision.
func (p *Planner) reserveWorker(w *worker, s *step, now time.Duration) {
	if w.reservedIn == 0 || w.reservedIn+1 < p.decisions {
		w.reservedSince = now
	}
	w.reservedIn, w.reservedFor = p.decisions, s
}

func (w *worker) hasLabel(label string) bool { return slices.Contains(w.reg.Labels, label) }

// orderedRuns returns the runs that the known incarnation of the worker may have, sorted by
// task and number.
func (w *worker) orderedRuns() []*run {
	var runs []*run
	for _, r := range w.runs {
		if r.phase != phaseDecided && !r.absent {
			runs = append(runs, r)
		}
	}
	sortRuns(runs)
	return runs
}

// withoutAbsent returns those of the runs that the known incarnation of their worker may have.
func withoutAbsent(runs []*run) []*run {
	return slices.DeleteFunc(slices.Clone(runs), func(r *run) bool { return r.absent })
}

// allocate adds a run and takes its capacity.
func (w *worker) allocate(r *run) {
	w.runs[r.key()] = r
	w.allocated = w.allocated.Add(r.size)
}

// release removes a run and frees its capacity.
func (w *worker) release(r *run) {
	if _, known := w.runs[r.key()]; !known {
		return
	}
	r.endSeparation()
	delete(w.runs, r.key())
	w.allocated = w.allocated.Sub(r.size)
}

// health detects workers that fail whatever they start, as opposed to tasks that
// fail by themselves. A worker with failureLimit failed runs in a row is
// quarantined. Runs of steps that fail by themselves don't count.
type health struct {
	failures       int           // failed runs in a row
	noStartsBefore time.Duration // end of the quarantine, or of the back-off after a NoCapacity refusal
}

const (
	// failureLimit is the number of failed runs in a row that quarantine a worker. A
	// sound worker reaches it about once in 10,000 runs if 5% of the runs fail.
	failureLimit = 3
	// quarantineTime is how long nothing starts on a quarantined worker. After that,
	// one more failed run quarantines it anew.
	quarantineTime = 3 * time.Second
)

func (h *health) allowsStarts(now time.Duration) bool { return now >= h.noStartsBefore }

func (h *health) recordSuccess() { h.failures = 0 }

func (h *health) recordFailure(now time.Duration) {
	h.failures++
	if h.failures >= failureLimit {
		h.noStartsBefore = now + quarantineTime
	}
}
