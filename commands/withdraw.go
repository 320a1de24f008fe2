package commands

import "github.com/jessevdk/go-flags"

// withdrawCommand withdraws a key permanently.
type withdrawCommand struct {
	env *environment
	reasonOption
	Args struct {
		Key string `positional-arg-name:"ID" description:"id of the key: the part after fh_"`
	} `positional-args:"yes" required:"yes"`
}

func addWithdraw(parser *flags.Parser, env *environment) error {
	_, err := parser.AddCommand("withdraw", "end a key for good",
		`Withdraws a key and waits until this is in force on all entry VMs. A withdrawn
key never works again, whatever is applied or rolled back later.

  filberthaven withdraw --reason "found on a trailer" 3f0c9a2be714

Exit codes: as drain.`,
		&withdrawCommand{env: env})
	return err
}

// Execute runs the command.
func (c *withdrawCommand) Execute([]string) error {
	client, err := c.env.client()
	if err != nil {
		return err
	}
	return c.env.printAccepted(client.Withdraw(background(), c.Args.Key, c.Reason))
}
