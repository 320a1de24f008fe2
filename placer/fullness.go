package placer

import "slices"

// fullness is a set of sizes that no worker has room for; none of them holds
// another.
type fullness struct{ sizes []Resources }

// rules reports whether no worker has room for the size.
func (f *fullness) rules(size Resources) bool {
	for _, s := range f.sizes {
		if s.Fits(size) {
			return true
		}
	}
	return false
}

// add notes that no worker has room for the size.
func (f *fullness) add(size Resources) {
	f.sizes = slices.DeleteFunc(f.sizes, size.Fits)
	f.sizes = append(f.sizes, size)
}

// relax forgets the sizes that fit into the room of a worker.
func (f *fullness) relax(room Resources) {
	for _, s := range f.sizes {
		if s.Fits(room) {
			f.sizes = slices.DeleteFunc(f.sizes, func(s Resources) bool { return s.Fits(room) })
			return
		}
	}
}
