// Package placer decides which worker runs which task. It holds no clock,
// socket or lock: state and time come in, decisions go out.
package placer
