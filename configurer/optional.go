package configurer

// optional is a value that may be absent.
type optional[T any] struct {
	value T
	set   bool
}

// some returns an optional that holds the value.
func some[T any](value T) optional[T] { return optional[T]{value: value, set: true} }

// firstSet returns the first value that is set, or the zero value.
func firstSet[T any](values ...optional[T]) T {
	for _, value := range values {
		if value.set {
			return value.value
		}
	}
	var zero T
	return zero
}
