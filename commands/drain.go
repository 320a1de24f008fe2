package commands

import (
	"context"
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

// waitEmpty shows how work leaves a data centre until nothing is left.
func (e *environment) waitEmpty(ctx context.Context, centre string, interval time.Duration) error {
	var bar *progressbar.ProgressBar
	most := 0
	for {
		left, err := e.left(ctx, centre)
		if err != nil {
			return err
		}
		if bar == nil || left > most {
			most = max(left, 1)
			bar = progressbar.NewOptions(most, progressbar.OptionSetWriter(e.err), progressbar.OptionSetDescription("tasks gone from "+centre))
		}
		if err := bar.Set(most - left); err != nil {
			return err
		}
		if left == 0 {
			printLine(e.err)
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(interval):
		}
	}
}

// left returns the number of tasks that a data centre runs or holds.
func (e *environment) left(ctx context.Context, centre string) (int, error) {
	status, err := e.status(ctx)
	if err != nil {
		return 0, err
	}
	for _, known := range status.Centres {
		if known.Name == centre {
			return known.Running + known.Pending, nil
		}
	}
	return 0, fmt.Errorf("data centre %s is not in the status", centre)
}
