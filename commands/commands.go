// Package commands parses the command line and wires the parts together.
package commands

// Run carries out the command line and returns the exit code.
func Run(_ []string) int { return 0 }
