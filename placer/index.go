package placer

import "math/bits"

// levels is the number of ranges into which an index divides processors and memory.
const levels = 64

// maxTries limits the nodes that a quick search examines in one cell.
const maxTries = 16

// index finds nodes by an amount of processors and memory. Nodes with similar amounts share
// a cell, so that the cost of a quick search grows with the number of filled cells and not
// with the number of nodes.
type index struct {
	maxTotal Resources               // most processors, memory and accelerators of any worker; sets the width of a cell
	rows     [levels]uint64          // by processors: bit m is set when the cell with memory level m holds nodes
	cells    [levels][levels][]*node // by processors, then memory
	ref      func(*node) *cellRef    // where a node stores its cell in this index
}

// cellRef locates a node in an index.
type cellRef struct {
	position int32 // index in the cell
	cpu, mem int8  // levels of the cell; valid when indexed
	indexed  bool  // the node is in the index
}

// level returns the number, from 0, of the range that part falls into. The ranges divide
// the values up to largest.
func level(part, largest int64) int {
	if largest <= 0 || part <= 0 {
		return 0
	}
	return int(min(part*levels/(largest+1), levels-1))
}

// put adds a node to the index under an amount, or moves it to the cell of that amount.
func (x *index) put(n *node, amount Resources) {
	r := x.ref(n)
	cpu, mem := level(amount.cpu, x.maxTotal.cpu), level(amount.memory, x.maxTotal.memory)
	if r.indexed && int(r.cpu) == cpu && int(r.mem) == mem {
		return
	}
	x.remove(n)
	cell := &x.cells[cpu][mem]
	*r = cellRef{position: int32(len(*cell)), cpu: int8(cpu), mem: int8(mem), indexed: true}
	*cell = append(*cell, n)
	x.rows[cpu] |= 1 << mem
}

// remove takes the node out of the index, if it is there.
func (x *index) remove(n *node) {
	r := x.ref(n)
	if !r.indexed {
		return
	}
	cell := &x.cells[r.cpu][r.mem]
	last := (*cell)[len(*cell)-1]
	(*cell)[r.position] = last
	x.ref(last).position = r.position
	(*cell)[len(*cell)-1] = nil
	*cell = (*cell)[:len(*cell)-1]
	if len(*cell) == 0 {
		x.rows[r.cpu] &^= 1 << r.mem
	}
	r.indexed = false
}

// bestFit returns a node for which fits is true, from the cell with the lowest score, and
// how many nodes it examined. It starts with a quick search, which examines at most maxTries
// nodes of each cell. If that finds none, a second search examines up to 16,384 of each.
func (x *index) bestFit(size Resources, fits func(*node) bool) (*node, int) {
	n, examined := x.search(size, maxTries, fits)
	if n != nil {
		return n, examined
	}
	n, more := x.search(size, len(x.rows)*maxTries*maxTries, fits)
	return n, examined + more
}

// search is bestFit with up to tries nodes of each cell examined.
func (x *index) search(size Resources, tries int, fits func(*node) bool) (*node, int) {
	var best *node
	lowest, examined := 0, 0
	cpu, mem := level(size.cpu, x.maxTotal.cpu), level(size.memory, x.maxTotal.memory)
	for c := cpu; c < levels; c++ {
		if best != nil && c-cpu >= lowest {
			break
		}
		row := x.rows[c] &^ (1<<mem - 1)
		for ; row != 0; row &= row - 1 {
			m := bits.TrailingZeros64(row)
			s := score(c-cpu, m-mem)
			if best != nil && s >= lowest {
				continue
			}
			n, more := firstFit(x.cells[c][m], tries, fits)
			examined += more
			if n != nil {
				best, lowest = n, s
			}
		}
	}
	return best, examined
}

// score rates a cell by the levels of processors and memory that stay free. It is lower for
// fewer levels, and when both stay free evenly.
func score(cpu, mem int) int {
	return cpu + mem + 2*max(cpu-mem, mem-cpu)
}

// firstFit returns the first node for which fits is true, among the first tries nodes of
// the cell, and how many it examined.
func firstFit(cell []*node, tries int, fits func(*node) bool) (*node, int) {
	for i, n := range cell {
		if i == tries {
			return nil, i
		}
		if fits(n) {
			return n, i + 1
		}
	}
	return nil, len(cell)
}
