package placer

import "slices"

// noFitSet is a set of sizes that fit on no worker. No size in it fits into another one.
type noFitSet struct{ sizes []Resources }

// covers reports whether it follows from the set that the size fits on no worker.
func (f *noFitSet) covers(size Resources) bool {
	for _, s := range f.sizes {
		if s.Fits(size) {
			return true
		}
	}
	return false
}

// add records that the size fits on no worker.
func (f *noFitSet) add(size Resources) {
	f.sizes = slices.DeleteFunc(f.sizes, size.Fits)
	f.sizes = append(f.sizes, size)
}

// prune removes the sizes that fit into the free capacity of a worker.
func (f *noFitSet) prune(free Resources) {
	for _, s := range f.sizes {
		if s.Fits(free) {
			f.sizes = slices.DeleteFunc(f.sizes, func(s Resources) bool { return s.Fits(free) })
			return
		}
	}
}
