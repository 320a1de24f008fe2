package commands

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"filberthaven.example/configurer"
	"github.com/jessevdk/go-flags"
	"github.com/schollz/progressbar/v3"
)

// pollTimeout is how long one call waits for the end of a job, as sent in the query.
const pollTimeout = "5s"

// errJobFailed means that a job has ended in a state other than done.
var errJobFailed = errors.New("job has not been done")

// waitCommand waits until a job has ended.
type waitCommand struct {
	env *environment
	jobArgument
}

func addWait(parser *flags.Parser, env *environment) error {
	_, err := parser.AddCommand("wait", "wait until a job has ended",
		`Waits until a job has ended, and shows its progress. Calls are repeated while
the entry VM can't be reached.

  filberthaven wait pianura-a.0.7.12

Exit codes: 0 done; 1 failed, cancelled or unknown; 3 there is no such job.`, &waitCommand{env: env})
	return err
}

// Execute runs the command.
func (c *waitCommand) Execute([]string) error { return c.env.waitJob(background(), c.Args.ID) }

// waitJob waits until a job has ended and prints its status. It repeats calls that reach
// no entry VM, because the balancer may choose another VM next time.
func (e *environment) waitJob(ctx context.Context, id string) error {
	var bar *progressbar.ProgressBar
	for {
		var current job
		err := e.jobCall(ctx, http.MethodGet, jobPath(id)+"/wait?timeout="+pollTimeout, nil, &current)
		if errors.Is(err, configurer.ErrUnreachable) && ctx.Err() == nil {
			if err := sleep(ctx, statusInterval); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		if bar == nil {
			bar = progressbar.NewOptions(max(current.Tasks, 1), progressbar.OptionSetWriter(e.stderr), progressbar.OptionSetDescription(id))
		}
		if err := bar.Set(min(current.Done+current.Failed+current.Unknown, max(current.Tasks, 1))); err != nil {
			return err
		}
		if current.Terminal {
			printLine(e.stderr)
			return e.printEnded(current)
		}
	}
}

// printEnded prints the status of a job that has ended. It returns errJobFailed unless
// the job is done.
func (e *environment) printEnded(ended job) error {
	if err := e.print(ended, ended.write); err != nil {
		return err
	}
	if ended.State != "done" {
		return fmt.Errorf("%w: %s", errJobFailed, ended.State)
	}
	return nil
}
