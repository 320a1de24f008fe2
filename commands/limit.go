package commands

import (
	"errors"
	"time"

	"github.com/jessevdk/go-flags"
)

// limitCommand sets an exception for a team's limit.
type limitCommand struct {
	env        *environment
	Processors string        `long:"processors" value-name:"N" description:"processors that the team may have running, or none"`
	Slots      string        `long:"slots" value-name:"N" description:"urgent requests that the team may have in flight, or none"`
	Clear      string        `long:"clear" choice:"processors" choice:"slots" description:"end the exception"`
	For        time.Duration `long:"for" value-name:"DURATION" description:"the exception lapses after this time"`
	reasonOption
	Args struct {
		Team string `positional-arg-name:"TEAM"`
	} `positional-args:"yes" required:"yes"`
}

var errOneLimitOption = errors.New("want one of --processors, --slots and --clear")

func addLimit(parser *flags.Parser, env *environment) error {
	_, err := parser.AddCommand("limit", "set an exception for a team's limit",
		`Sets an exception, with its reason and author, for how many processors a team
may have running or how many urgent requests it may have in flight, and waits
until it is in force on all entry VMs. Where more runs than a lowered limit
allows, growth stops first; then the newest deferred work is checkpointed or
stopped.

  filberthaven limit --processors 120 --for 48h --reason "harvest" cremona
  filberthaven limit --clear processors --reason "harvest is over" cremona

Exit codes: as drain.`,
		&limitCommand{env: env})
	return err
}

// Execute runs the command.
func (c *limitCommand) Execute([]string) error {
	key, value, err := c.exception()
	if err != nil {
		return err
	}
	client, err := c.env.client()
	if err != nil {
		return err
	}
	return c.env.printAccepted(client.Limit(background(), c.Args.Team, key, value, expiryAfter(c.For), c.Reason))
}

// exception returns the key and the value of the exception in the declarations. The key
// for processors is "limit". An empty value ends the exception.
func (c *limitCommand) exception() (key, value string, err error) {
	switch {
	case c.Processors != "" && c.Slots == "" && c.Clear == "":
		return "limit", c.Processors, nil
	case c.Slots != "" && c.Processors == "" && c.Clear == "":
		return "slots", c.Slots, nil
	case c.Clear == "processors" && c.Processors == "" && c.Slots == "":
		return "limit", "", nil
	case c.Clear == "slots" && c.Processors == "" && c.Slots == "":
		return "slots", "", nil
	}
	return "", "", &exitError{exitUsage, errOneLimitOption}
}
