package estimator

import (
	"container/list"
	"iter"
)

// recent holds a limited number of values by key and evicts the one that was least
// recently created or looked up by at.
type recent[K comparable, V any] struct {
	limit    int
	elements map[K]*list.Element // of pair[K, V]
	order    *list.List          // most recent first
}

type pair[K comparable, V any] struct {
	key   K
	value V
}

func newRecent[K comparable, V any](limit int) *recent[K, V] {
	return &recent[K, V]{limit: limit, elements: map[K]*list.Element{}, order: list.New()}
}

// get returns the value of a key without making it the most recent.
func (r *recent[K, V]) get(key K) (value V, found bool) {
	element := r.elements[key]
	if element == nil {
		return value, false
	}
	return element.Value.(pair[K, V]).value, true
}

// at returns the value of a key and makes it the most recent. It creates a missing
// value, and evicts another one if the limit is reached.
func (r *recent[K, V]) at(key K, create func() V) V {
	if element := r.elements[key]; element != nil {
		r.order.MoveToFront(element)
		return element.Value.(pair[K, V]).value
	}
	if r.order.Len() >= r.limit {
		oldest := r.order.Back()
		r.order.Remove(oldest)
		delete(r.elements, oldest.Value.(pair[K, V]).key)
	}
	created := pair[K, V]{key, create()}
	r.elements[key] = r.order.PushFront(created)
	return created.value
}

// oldestFirst iterates over the keys and values, the least recent first.
func (r *recent[K, V]) oldestFirst() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for element := r.order.Back(); element != nil; element = element.Prev() {
			if p := element.Value.(pair[K, V]); !yield(p.key, p.value) {
				return
			}
		}
	}
}

func (r *recent[K, V]) len() int { return r.order.Len() }
