package configurer

import (
	"iter"
	"maps"
	"slices"
)

// table holds the entities of one kind, such as the teams, by name. It is immutable.
type table[T any] struct {
	entities map[string]T
	names    []string // sorted; the keys of entities
}

func newTable[T any](entities map[string]T) table[T] {
	return table[T]{entities: entities, names: slices.Sorted(maps.Keys(entities))}
}

// get returns the entity of that name, and reports whether there is one.
func (t table[T]) get(name string) (T, bool) {
	entity, known := t.entities[name]
	return entity, known
}

// has reports whether there is an entity of that name.
func (t table[T]) has(name string) bool {
	_, known := t.entities[name]
	return known
}

// all yields the entities, sorted by name.
func (t table[T]) all() iter.Seq[T] {
	return func(yield func(T) bool) {
		for _, name := range t.names {
			if !yield(t.entities[name]) {
				return
			}
		}
	}
}

// with returns a copy of the table that holds the entity under the name.
func (t table[T]) with(name string, entity T) table[T] {
	entities := maps.Clone(t.entities)
	if entities == nil {
		entities = map[string]T{}
	}
	entities[name] = entity
	return newTable(entities)
}

// without returns a copy of the table without the entity of that name.
func (t table[T]) without(name string) table[T] {
	entities := maps.Clone(t.entities)
	delete(entities, name)
	return newTable(entities)
}
