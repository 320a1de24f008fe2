// Package receiver takes callers' requests on every entry VM and passes them to
// the owner of the fleet. It keeps no state, so that any VM may go at any time.
package receiver
