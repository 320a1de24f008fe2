package commands

import "github.com/jessevdk/go-flags"

// returnCommand returns a drained data centre or VM to service.
type returnCommand struct {
	env *environment
	targetArgument
	reasonOption
}

func addReturn(parser *flags.Parser, env *environment) error {
	_, err := parser.AddCommand("return", "take a data centre or VM back into service",
		`Takes a data centre or a VM back into service and waits until this is in force
on all entry VMs.

  filberthaven return --reason "power is back" pianura-b
  filberthaven return --vm --reason "replaced" worker-17

Exit codes: as drain.`,
		&returnCommand{env: env})
	return err
}

// Execute runs the command.
func (c *returnCommand) Execute([]string) error {
	client, err := c.env.client()
	if err != nil {
		return err
	}
	return c.env.printAccepted(client.Return(background(), c.target(), c.Reason))
}
