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

// targetArgument names a data centre, or a VM with --vm.
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
all entry VMs. Nothing starts there any more; pending work goes elsewhere, and
running work finishes or is checkpointed. --wait goes on until nothing runs.

--lost declares that a data centre can't come back with what it ran. Use it
only when its VMs are surely gone: what may run again starts elsewhere.

  filberthaven drain --reason "power work" pianura-b
  filberthaven drain --vm --reason "fails all it starts" worker-17
  filberthaven drain --lost --reason "fire" pianura-c

Exit codes: 0 in force everywhere; 3 refused, such as for the last data centre;
5 the fleet can't be reached, or the outcome is unknown; 6 accepted, but some
entry VMs were not reached.`,
		&drainCommand{env: env})
	return err
}

// Execute carries out the command.
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

// silentLimit is how many answers in a row may lack what runs before a wait gives up.
const silentLimit = 30

// errNotTold means that the owners of a data centre's shards weren't reached.
var errNotTold = errors.New("what runs in the data centre is not known")

// waitEmpty shows how work leaves a data centre until nothing is left.
func (e *environment) waitEmpty(ctx context.Context, centre string, interval time.Duration) error {
	bar := progressbar.NewOptions(1, progressbar.OptionSetWriter(e.err), progressbar.OptionSetDescription("tasks gone from "+centre))
	most, silent := 1, 0
	for {
		left, complete, err := e.left(ctx, centre)
		switch {
		case err != nil:
			return err
		case !complete:
			silent++
		default:
			silent, most = 0, max(most, left)
			bar.ChangeMax(most)
			if err := bar.Set(most - left); err != nil {
				return err
			}
		}
		if complete && left == 0 {
			printLine(e.err)
			return nil
		}
		if silent == silentLimit {
			return errNotTold
		}
		if err := pause(ctx, interval); err != nil {
			return err
		}
	}
}

// left returns the number of tasks that a data centre runs or holds, and whether all owners of
// shards told theirs.
func (e *environment) left(ctx context.Context, centre string) (tasks int, complete bool, err error) {
	status, err := e.status(ctx)
	if err != nil {
		return 0, false, err
	}
	for _, known := range status.Centres {
		if known.Name == centre {
			return known.Running + known.Pending, status.Complete, nil
		}
	}
	return 0, false, fmt.Errorf("data centre %s is not in the status", centre)
}
