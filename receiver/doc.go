// Package receiver accepts callers' requests on every entry VM and forwards them to
// the owner of the fleet. It stores nothing, so that any VM may stop at any time.
package receiver
