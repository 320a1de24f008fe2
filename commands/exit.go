package commands

import (
	"errors"

	"filberthaven.example/loader"
)

// Exit codes, documented in the help.
const (
	exitDone = iota
	exitFailed
	exitUsage
	exitRefused
	exitRaced
	exitUnreachable
	exitPartly
)

// exitError carries an exit code.
type exitError struct {
	code int
	err  error // never nil
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

// exitCode returns the exit code of a command that ended with err.
func exitCode(err error) int {
	var coded *exitError
	var faults loader.Errors
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &coded):
		return coded.code
	case errors.As(err, &faults):
		return exitRefused
	}
	return exitFailed
}

// report prints the error of a command and returns the exit code.
func (e *environment) report(err error) int {
	if err != nil {
		printLine(e.err, "filberthaven:", err)
	}
	return exitCode(err)
}
