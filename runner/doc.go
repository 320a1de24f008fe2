// Package runner runs one entry VM: it serves callers' requests, requests advice for
// the owner, and runs the fleet while this VM is the owner.
package runner
