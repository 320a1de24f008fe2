package commands

import (
	"context"
	"errors"
	"fmt"
	"time"

	"filberthaven.example/configurer"
	"github.com/jessevdk/go-flags"
	"github.com/schollz/progressbar/v3"
)

// targetArgument is the argument for a data centre, or a VM with --vm.
type targetArgument struct {
	VM   bool `long:"vm" description:"NAME is the id of a VM, not a data centre"`
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

func (a targetArgument) target() configurer.Target {
	if a.VM {
		return configurer.VMTarget(a.Args.Name)
	}
	return configurer.CentreTarget(a.Args.Name)
}

// drainCommand takes a data centre or VM out of service.
type drainCommand struct {
	env  *environment
	Lost bool `long:"lost" description:"the data centre is lost: its jobs go on elsewhere"`
	Wait bool `long:"wait" description:"wait until nothing runs in the data centre"`
	targetArgument
	reasonOption
}

func addDrain(parser *flags.Parser, env *environment) error {
	_, err := parser.AddCommand("drain", "take a data centre or VM out of service",
		`Takes a data centre or a VM out of service and waits until this is in force on
all entry VMs. Nothing new starts there; pending work moves elsewhere, and
running work finishes or is checkpointed. --wait also waits until no work is
left.

--lost declares that a data centre can't come back with what it ran. Use it
only when its VMs are certainly gone: tasks that may run again start elsewhere.

  filberthaven drain --reason "power work" pianura-b
  filberthaven drain --vm --reason "fails all it starts" worker-17
  filberthaven drain --lost --reason "fire" pianura-c

Exit codes: 0 in force everywhere; 3 refused, such as for the last data centre;
5 the fleet can't be reached, or the outcome is unknown; 6 accepted, but some
entry VMs were not reached.`,
		&drainCommand{env: env})
	return err
}

// Execute runs the command.
func (c *drainCommand) Execute([]string) error {
	client, err := c.env.client()
	if err != nil {
		return err
	}
	err = c.env.printAccepted(client.Drain(background(), c.target(), c.Lost, c.Reason))
	if err != nil || !c.Wait || c.VM {
		return err
	}
	return c.env.waitEmpty(background(), c.Args.Name, statusInterval)
}

// maxIncomplete is the number of incomplete statuses in a row after which waitEmpty
// gives up.
const maxIncomplete = 30

// errTasksUnknown means that some owners of shards did not report their tasks in
// maxIncomplete statuses in a row.
var errTasksUnknown = errors.New("what runs in the data centre is not known")

// waitEmpty polls the status until a data centre has no running or pending tasks, and
// shows the progress. Only a complete status counts, because an incomplete one lacks the
// tasks of some shards.
func (e *environment) waitEmpty(ctx context.Context, centre string, interval time.Duration) error {
	bar := progressbar.NewOptions(1, progressbar.OptionSetWriter(e.stderr), progressbar.OptionSetDescription("tasks gone from "+centre))
	peak, incomplete := 1, 0
	for {
		remaining, complete, err := e.remainingTasks(ctx, centre)
		switch {
		case err != nil:
			return err
		case !complete:
			incomplete++
		default:
			incomplete, peak = 0, max(peak, remaining)
			bar.ChangeMax(peak)
			if err := bar.Set(peak - remaining); err != nil {
				return err
			}
		}
		if complete && remaining == 0 {
			printLine(e.stderr)
			return nil
		}
		if incomplete == maxIncomplete {
			return errTasksUnknown
		}
		if err := sleep(ctx, interval); err != nil {
			return err
		}
	}
}

// remainingTasks returns the number of running and pending tasks of a data centre, and
// whether all owners of shards reported theirs.
func (e *environment) remainingTasks(ctx context.Context, centre string) (tasks int, complete bool, err error) {
	status, err := e.status(ctx)
	if err != nil {
		return 0, false, err
	}
	for _, c := range status.Centres {
		if c.Name == centre {
			return c.Running + c.Pending, status.Complete, nil
		}
	}
	return 0, false, fmt.Errorf("data centre %s is not in the status", centre)
}
