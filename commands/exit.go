package commands

import (
	"errors"
	"slices"

	"filberthaven.example/configurer"
	"filberthaven.example/keeper"
	"filberthaven.example/loader"
)

// Exit codes, as the help documents them.
const (
	exitDone = iota
	exitFailed
	exitUsage
	exitRefused
	exitConflict
	exitUnreachable
	exitPartial
	exitDiffers
)

// exitError sets the exit code of the command that returns it.
type exitError struct {
	code int
	err  error // never nil
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

// exitCode returns the exit code of a command that ended with err.
func exitCode(err error) int {
	var coded *exitError
	var invalid loader.Errors
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &coded):
		return coded.code
	case isAny(err, keeper.ErrOutcomeUnknown, keeper.ErrUnavailable, configurer.ErrUnreachable):
		return exitUnreachable
	case errors.Is(err, configurer.ErrConflict):
		return exitConflict
	case errors.As(err, &invalid), isAny(err, refusals...):
		return exitRefused
	}
	return exitFailed
}

// refusals are the errors of refused requests, after which nothing has changed.
var refusals = []error{
	configurer.ErrRefused, configurer.ErrRequest, configurer.ErrDenied, configurer.ErrNoRevision,
	configurer.ErrNewer, keeper.ErrTooLarge,
}

// isAny reports whether err is one of the targets.
func isAny(err error, targets ...error) bool {
	return slices.ContainsFunc(targets, func(target error) bool { return errors.Is(err, target) })
}

// report prints the error of a command and returns the exit code.
func (e *environment) report(err error) int {
	if err != nil {
		printLine(e.stderr, "filberthaven:", err)
	}
	return exitCode(err)
}
