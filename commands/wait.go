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

// pollTime is how long one call waits for the end of a job.
const pollTime = "5s"

// errJobFailed means that a job has ended without all of its tasks done.
var errJobFailed = errors.New("job has not been done")

// waitCommand waits for the end of a job.
type waitCommand struct {
	env *environment
	jobArgument
}

func addWait(parser *flags.Parser, env *environment) error {
	_, err := parser.AddCommand("wait", "wait until a job has ended",
		`Waits until a job has ended, over changes of entry VMs, and shows its progress.

  filberthaven wait pianura-a.0.7.12

Exit codes: 0 done; 1 failed, cancelled or unknown; 3 there is no such job.`, &waitCommand{env: env})
	return err
}

// Execute carries out the command.
func (c *waitCommand) Execute([]string) error { return c.env.waitJob(background(), c.Args.ID) }

// waitJob waits for the end of a job and prints it. An entry VM that doesn't answer is
// asked again: the balancer may know another.
func (e *environment) waitJob(ctx context.Context, id string) error {
	var bar *progressbar.ProgressBar
	for {
		var seen job
		err := e.jobCall(ctx, http.MethodGet, jobPath(id)+"/wait?timeout="+pollTime, nil, &seen)
		if errors.Is(err, configurer.ErrUnreachable) && ctx.Err() == nil {
			if err := pause(ctx, statusInterval); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		if bar == nil {
			bar = progressbar.NewOptions(max(seen.Tasks, 1), progressbar.OptionSetWriter(e.err), progressbar.OptionSetDescription(id))
		}
		if err := bar.Set(min(seen.Done+seen.Failed+seen.Unknown, max(seen.Tasks, 1))); err != nil {
			return err
		}
		if seen.Terminal {
			printLine(e.err)
			return e.printEnded(seen)
		}
	}
}

// printEnded prints a job that has ended.
func (e *environment) printEnded(seen job) error {
	if err := e.print(seen, seen.write); err != nil {
		return err
	}
	if seen.State != "done" {
		return fmt.Errorf("%w: %s", errJobFailed, seen.State)
	}
	return nil
}
