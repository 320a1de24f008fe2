package placer

import "math/bits"

// levels is the number of ranges into which an index divides processors and memory.
const levels = 64

// maxTries limits the nodes examined in one cell by a quick search.
const maxTries = 16

// index finds nodes by an amount of processors and memory. The cost of a search grows with
// the number of different amounts, not with the number of nodes.
type index struct {
	maxTotal Resources               // largest of any worker, in each part; sets the width of a cell
	rows     [levels]uint64          // bit set of the cells that hold nodes, by processors
	cells    [levels][levels][]*node // by processors, then memory
	ref      func(*node) *cellRef    // where a node stores its cell in this index
}

// cellRef locates a node in an index.
type cellRef struct {
	position int32 // in the cell
	cpu, mem int8  // of the cell; valid when indexed
	indexed  bool
}

// level returns the range, from 0, of one part of an amount, given its largest value.
func level(part, largest int64) int {
	if largest <= 0 || part <= 0 {
		return 0
	}
	return int(min(part*levels/(largest+1), levels-1))
}

// put adds the node under that amount, or moves it there.
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

// remove takes the node out, if it is in the index.
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

// bestFit returns the node with the lowest score among those that fits accepts, and how
// many nodes it examined. A quick search examines at most maxTries nodes of each cell. Only
// when it finds none, a second search examines up to 16,384 of each.
func (x *index) bestFit(size Resources, fits func(*node) bool) (*node, int) {
	n, examined := x.search(size, maxTries, fits)
	if n != nil {
		return n, examined
	}
	n, more := x.search(size, len(x.rows)*maxTries*maxTries, fits)
	return n, examined + more
}

// search returns the node with the lowest score, examining up to tries nodes of each cell.
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

// firstFit returns the first of up to tries nodes that fits accepts, and how many it
// examined.
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
