// Package commands implements the command line of filberthaven.
//
// Run parses the arguments, executes one command and returns its exit code. Each command
// is a struct of its options; all of them share one environment, which holds the global
// options and the output. Most commands are a call to an entry VM; serve, entry and dev
// run entry VMs, and init writes directly to the platform.
//
// An exit code never claims more than is known: exitRefused means that nothing has
// changed, exitUnreachable that the call may have taken effect, and exitPartial that it
// has, but not yet on all entry VMs.
package commands

import (
	"errors"
	"io"
	"os"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
)

// addFunc adds a command to the parser.
type addFunc func(parser *flags.Parser, env *environment) error

// addFuncs returns the functions that add the commands, in the order of the help.
func addFuncs() []addFunc {
	return []addFunc{
		addServe, addEntry, addDev, addInit, addStatus,
		addSubmit, addWait, addCancel, addExplain,
		addCheck, addPlan, addApply, addDiff, addExport, addHistory, addRollback,
		addMeasure, addDrain, addReturn, addLimit, addKeys, addGrant, addWithdraw, addCerts,
	}
}

const summary = `A cluster scheduler for services, deferred work and urgent requests.

Completion: complete -C filberthaven filberthaven (in bash).

Exit codes: 0 done; 1 failed; 2 wrong usage; 3 refused, nothing was changed;
4 another change came first, plan again; 5 the fleet can't be reached or the
outcome is unknown; 6 done, but not yet in force on all entry VMs; 7 diff found
differences.`

// Run runs the command that the arguments name and returns its exit code.
func Run(args []string) int { return run(args, os.Stdout, os.Stderr) }

func run(args []string, stdout, stderr io.Writer) int {
	env := &environment{stdout: stdout, stderr: stderr}
	parser, err := newParser(env)
	if err != nil {
		printLine(stderr, "filberthaven:", err)
		return exitFailed
	}
	_, err = parser.ParseArgs(args)
	if env.Version && parser.Active == nil {
		printLine(stdout, "filberthaven", version())
		return exitDone
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			printLine(stdout, usage.Message)
			return exitDone
		}
		printLine(stderr, "filberthaven:", usage.Message)
		return exitUsage
	}
	if err == nil && parser.Active == nil {
		parser.WriteHelp(stderr)
		return exitUsage
	}
	return env.report(err)
}

// newParser returns a parser of the global options and all commands.
func newParser(env *environment) (*flags.Parser, error) {
	parser := flags.NewNamedParser("filberthaven", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = summary
	parser.SubcommandsOptional = true
	if _, err := parser.AddGroup("Global options", "", env); err != nil {
		return nil, err
	}
	for _, add := range addFuncs() {
		if err := add(parser, env); err != nil {
			return nil, err
		}
	}
	return parser, nil
}

// version returns the version of the main module and the VCS revision of the build.
func version() string {
	info, known := debug.ReadBuildInfo()
	if !known {
		return "(unknown)"
	}
	text := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			text += " " + setting.Value
		}
	}
	return text
}
