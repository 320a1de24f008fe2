package commands

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"filberthaven.example/launcher"
	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"
)

// devCommand runs a complete fleet in one process.
type devCommand struct {
	env     *environment
	Check   bool   `long:"check" description:"run the main job from end to end and exit"`
	Entries int    `long:"entries" default:"3" description:"entry VMs in each of three data centres"`
	Example string `long:"example" choice:"essiccatoi" choice:"lychnos" description:"start a deployment of the examples at its size"`
	Level   string `long:"log" default:"warn" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"lowest level logged"`
}

func addDev(parser *flags.Parser, env *environment) error {
	_, err := parser.AddCommand("dev", "start a fleet on this machine to try things out",
		`Starts three data centres of entry VMs in one process on loopback, with a
simulated platform, workers and executors. Prints addresses, keys and example
calls.

  filberthaven dev
  filberthaven dev --check
  filberthaven dev --example lychnos --check

Exit codes: 0 all steps of the check passed, or the fleet was stopped; 1 failed.`, &devCommand{env: env})
	return err
}

// Execute runs the command.
func (c *devCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	logger := hclog.New(&hclog.LoggerOptions{Name: "dev", Level: hclog.LevelFromString(c.Level), Output: c.env.stderr})
	size := launcher.WithSize(c.Entries, launcher.DefaultWorkers, launcher.DefaultExecutors)
	if c.Example != "" {
		size = launcher.WithExample(c.Example)
	}
	fleet, err := launcher.New(context.WithoutCancel(ctx), launcher.WithLogger(logger), size)
	if err != nil {
		return err
	}
	defer fleet.Close()
	if c.Check {
		return fleet.Check(ctx, c.env.stdout)
	}
	c.printFleet(fleet)
	<-ctx.Done()
	return nil
}

// printFleet prints the fleet's addresses and keys, and example calls.
func (c *devCommand) printFleet(fleet *launcher.Fleet) {
	out := c.env.stdout
	printLine(out, "platform  ", fleet.Platform())
	for _, vm := range fleet.VMs() {
		printLine(out, "entry VM  ", vm.ID(), "http://"+vm.Address())
	}
	keys := fleet.Keys()
	address := "http://" + fleet.VMs()[0].Address()
	printLine(out, "team key  ", keys.Team())
	printLine(out, "operator  ", keys.Operator())
	fmt.Fprintf(out, "\ncurl -H 'Authorization: Bearer %s' -d 'one slot' %s/v1/services/%s/book\n", keys.Team(), address, fleet.Service())
	fmt.Fprintf(out, "curl -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{\"tasks\":4,\"cpu\":1,\"memory\":256,\"class\":\"deferred\",\"estimate\":\"2s\"}' %s/v1/jobs\n", keys.Team(), address)
	printLine(out, "\nStop with Ctrl-C.")
}
