// Package limiter bounds the memory and the descriptors that clients can take from a process:
// the bytes of request bodies, the time in which they have to arrive, and the number of
// connections.
//
// New returns a Limiter, which all listeners that share a budget use. Limiter.Handler bounds
// the bodies of a handler's requests, and Limiter.Listen the connections of a listener;
// ConnContext connects the two. One lock guards the budget and the bodies that are being read,
// and one for each listener its connections. Neither is held while anything is read or written.
package limiter
