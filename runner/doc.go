// Package runner puts the parts of an entry VM together and runs them: it takes
// callers' requests, asks for advice, and runs the fleet while it is the owner.
package runner
