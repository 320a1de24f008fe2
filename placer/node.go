package placer

// node is a worker with its tasks and reservations.
type node struct {
	worker          Worker
	serial          int32          // in order of arrival; identifies the node in records of failures
	rack            *rack          // never nil
	used            Resources      // sum of the sizes of its tasks
	reserved        Resources      // sum of the sizes of its reservations
	preemptible     Resources      // sum of the sizes of its preemptible tasks
	serviceUsed     Resources      // sum of the sizes of its service tasks
	tasks           []runRef       // in no order
	reservations    []*reservation // oldest first
	removed         bool           // removed by the caller; the node stays until its tasks have ended
	group           int            // one of the groups below, as of the last reindex
	freeCell        cellRef        // its cell in the index of its group in Placer.byFree
	reclaimableCell cellRef        // its cell in Placer.byReclaimable
	health          health
	overuses        []overuse // tasks that were last reported to use more than their size
	excess          Resources // sum over overuses
}

// runRef refers to a task that is on a node.
type runRef struct {
	job   *job
	index int32
}

// rack is a set of nodes that may fail together.
type rack struct {
	name   string
	number int32
	nodes  []*node
}

// reservation keeps capacity on a node for one task of a job.
type reservation struct {
	job   *job
	node  *node
	since int64 // time of the reservation; nanoseconds since 1970
	ready bool  // the capacity is free now
}

// free returns the capacity for new tasks. Parts of it are negative while a reservation
// waits for tasks to end.
func (n *node) free() Resources {
	return n.worker.total.Sub(n.used).Sub(n.reserved).Sub(n.excess)
}

// open reports whether the node takes new tasks.
func (n *node) open() bool {
	return !n.removed && n.worker.state == Live && n.health.admits(len(n.tasks))
}

func (n *node) taskOf(r runRef) *task { return &r.job.tasks[r.index] }

// add puts a task on the node.
func (n *node) add(j *job, index int32) {
	j.tasks[index].position = int32(len(n.tasks))
	n.tasks = append(n.tasks, runRef{j, index})
	n.used = n.used.Add(j.spec.size)
	if j.preemptible() {
		n.preemptible = n.preemptible.Add(j.spec.size)
	}
	if j.spec.class == Service {
		n.serviceUsed = n.serviceUsed.Add(j.spec.size)
	}
}

// remove takes a task off the node.
func (n *node) remove(j *job, index int32) {
	position := j.tasks[index].position
	last := len(n.tasks) - 1
	moved := n.tasks[last]
	n.tasks[position] = moved
	moved.job.tasks[moved.index].position = position
	n.tasks[last] = runRef{}
	n.tasks = n.tasks[:last]
	n.used = n.used.Sub(j.spec.size)
	if j.preemptible() {
		n.preemptible = n.preemptible.Sub(j.spec.size)
	}
	if j.spec.class == Service {
		n.serviceUsed = n.serviceUsed.Sub(j.spec.size)
	}
}

// updateReady marks the reservations for which capacity is free now. Older
// reservations go first, and none is ready before an older one that needs the same resource.
func (n *node) updateReady() {
	free := n.worker.total.Sub(n.used).Sub(n.excess)
	for _, r := range n.reservations {
		r.ready = r.job.spec.size.Fits(free)
		free = free.Sub(r.job.spec.size)
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

// The groups of nodes, each with an index by free capacity, in the order in which a task
// without accelerators tries them. Used nodes have tasks, and plain ones no accelerators.
const (
	usedPlain = iota
	emptyPlain
	usedAccelerated
	emptyAccelerated
	nodeGroups // number of groups
)

// currentGroup returns the group to which the node belongs now.
func (n *node) currentGroup() int {
	group := usedPlain
	if n.worker.total.accelerators > 0 {
		group = usedAccelerated
	}
	if len(n.tasks) == 0 {
		group++
	}
	return group
}
