package placer

// node is a worker with what it holds.
type node struct {
	worker  Worker
	serial  int32     // order of arrival; breaks ties
	rack    *rack     // never nil
	used    Resources // sum of the sizes of its tasks
	held    Resources // sum of the sizes of its holds
	yield   Resources // sum of the sizes of its tasks that can be preempted
	stay    Resources // sum of the sizes of its tasks that never end by themselves
	tasks   []runRef  // what it runs
	holds   []*hold   // oldest first
	gone    bool      // removed; stays until its tasks have ended
	kind    int       // index of those by room that it is in
	free    place     // in the index by room
	clear   place     // in the index by amount after preemption
	health  health
	excess  []excess  // tasks that use more than their size
	trouble Resources // sum over excess
}

// runRef is a task on a node.
type runRef struct {
	job   *job
	index int32
}

// rack is a set of nodes that fail together.
type rack struct {
	name   string
	number int32
	nodes  []*node
}

// hold sets room on a node aside for one task of a job.
type hold struct {
	job   *job
	node  *node
	since int64 // nanoseconds since 1970
	ready bool  // the room is free now
}

// room returns what new tasks may take; parts are negative while a hold waits.
func (n *node) room() Resources {
	return n.worker.total.Sub(n.used).Sub(n.held).Sub(n.trouble)
}

// open reports whether the node takes new tasks.
func (n *node) open() bool { return !n.gone && n.worker.state == Live && n.health.admits(len(n.tasks)) }

func (n *node) ref(r runRef) *task { return &r.job.tasks[r.index] }

func (n *node) add(j *job, index int32) {
	j.tasks[index].at = int32(len(n.tasks))
	n.tasks = append(n.tasks, runRef{j, index})
	n.used = n.used.Add(j.spec.size)
	if j.yields() {
		n.yield = n.yield.Add(j.spec.size)
	}
	if j.spec.class == Service {
		n.stay = n.stay.Add(j.spec.size)
	}
}

func (n *node) remove(j *job, index int32) {
	at := j.tasks[index].at
	last := len(n.tasks) - 1
	moved := n.tasks[last]
	n.tasks[at] = moved
	moved.job.tasks[moved.index].at = at
	n.tasks[last] = runRef{}
	n.tasks = n.tasks[:last]
	n.used = n.used.Sub(j.spec.size)
	if j.yields() {
		n.yield = n.yield.Sub(j.spec.size)
	}
	if j.spec.class == Service {
		n.stay = n.stay.Sub(j.spec.size)
	}
}

// settle marks the holds whose room is free by now.
func (n *node) settle() {
	free := n.worker.total.Sub(n.used).Sub(n.trouble)
	for _, h := range n.holds {
		h.ready = h.job.spec.size.Fits(free)
		free = free.Sub(h.job.spec.size)
	}
}

// runs reports whether a task of the job is on the node.
func (n *node) runs(j *job) bool {
	for _, r := range n.tasks {
		if r.job == j {
			return true
		}
	}
	return false
}

// The indexes by room, in the order in which a task without accelerators tries
// them.
const (
	usedPlain = iota
	emptyPlain
	usedAccelerated
	emptyAccelerated
	kinds
)

// kindNow returns the index by room that the node belongs into.
func (n *node) kindNow() int {
	kind := usedPlain
	if n.worker.total.accelerators > 0 {
		kind = usedAccelerated
	}
	if len(n.tasks) == 0 {
		kind++
	}
	return kind
}
