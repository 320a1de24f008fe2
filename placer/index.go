package placer

import "math/bits"

// levels is how finely each dimension of the index is divided.
const levels = 64

// maxTries bounds the workers looked at in one cell of a quick search.
const maxTries = 16

// index finds workers by an amount that they have. Its cost grows with the
// number of different amounts, not with the number of workers.
type index struct {
	most  Resources // largest total of any worker; sets the width of a cell
	rows  [levels]uint64
	cells [levels][levels][]*node // by processors, then memory
	where func(*node) *place
}

// place is where an index keeps a node.
type place struct {
	at       int32 // position in the cell
	cpu, mem int8  // the cell; valid when kept
	kept     bool
}

func level(part, most int64) int {
	if most <= 0 || part <= 0 {
		return 0
	}
	return int(min(part*levels/(most+1), levels-1))
}

// put keeps the node under that amount, moving it when it was kept before.
func (x *index) put(n *node, amount Resources) {
	p := x.where(n)
	cpu, mem := level(amount.cpu, x.most.cpu), level(amount.memory, x.most.memory)
	if p.kept && int(p.cpu) == cpu && int(p.mem) == mem {
		return
	}
	x.drop(n)
	cell := &x.cells[cpu][mem]
	*p = place{at: int32(len(*cell)), cpu: int8(cpu), mem: int8(mem), kept: true}
	*cell = append(*cell, n)
	x.rows[cpu] |= 1 << mem
}

// drop forgets the node.
func (x *index) drop(n *node) {
	p := x.where(n)
	if !p.kept {
		return
	}
	cell := &x.cells[p.cpu][p.mem]
	last := (*cell)[len(*cell)-1]
	(*cell)[p.at] = last
	x.where(last).at = p.at
	(*cell)[len(*cell)-1] = nil
	*cell = (*cell)[:len(*cell)-1]
	if len(*cell) == 0 {
		x.rows[p.cpu] &^= 1 << p.mem
	}
	p.kept = false
}

// tightest returns the node that is left with the least and most even rest,
// among those that fits accepts, and how many nodes it looked at. It looks at
// all nodes that may fit only when a quick search finds none.
func (x *index) tightest(size Resources, fits func(*node) bool) (*node, int) {
	n, seen := x.search(size, maxTries, fits)
	if n != nil {
		return n, seen
	}
	n, more := x.search(size, len(x.rows)*maxTries*maxTries, fits)
	return n, seen + more
}

func (x *index) search(size Resources, tries int, fits func(*node) bool) (*node, int) {
	var best *node
	lowest, seen := 0, 0
	cpu, mem := level(size.cpu, x.most.cpu), level(size.memory, x.most.memory)
	for c := cpu; c < levels; c++ {
		if best != nil && c-cpu >= lowest {
			break
		}
		row := x.rows[c] &^ (1<<mem - 1)
		for ; row != 0; row &= row - 1 {
			m := bits.TrailingZeros64(row)
			rest := score(c-cpu, m-mem)
			if best != nil && rest >= lowest {
				continue
			}
			n, tried := firstFit(x.cells[c][m], tries, fits)
			seen += tried
			if n != nil {
				best, lowest = n, rest
			}
		}
	}
	return best, seen
}

// score is lower for a smaller rest and for one that is even in both dimensions.
func score(cpu, mem int) int {
	return cpu + mem + 2*max(cpu-mem, mem-cpu)
}

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
