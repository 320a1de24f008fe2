package placer

import "slices"

// noFitSet is a set of sizes that fit on no worker. A size is left out when a smaller one in
// the set implies it.
type noFitSet struct{ sizes []Resources }

// covers reports whether the set implies that the size fits on no worker, because a size in
// the set fits into it.
func (f *noFitSet) covers(size Resources) bool {
	for _, s := range f.sizes {
		if s.Fits(size) {
			return true
		}
	}
	return false
}

// add adds a size that fits on no worker. It drops the sizes that this one implies.
func (f *noFitSet) add(size Resources) {
	f.sizes = slices.DeleteFunc(f.sizes, size.Fits)
	f.sizes = append(f.sizes, size)
}

// prune removes the sizes that now fit into the free capacity of a worker.
func (f *noFitSet) prune(free Resources) {
	for _, s := range f.sizes {
		if s.Fits(free) {
			f.sizes = slices.DeleteFunc(f.sizes, func(s Resources) bool { return s.Fits(free) })
			return
		}
	}
}
