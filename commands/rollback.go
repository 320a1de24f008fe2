package commands

import "github.com/jessevdk/go-flags"

// rollbackCommand applies a former revision as a new one.
type rollbackCommand struct {
	env      *environment
	To       uint64 `long:"to" required:"yes" value-name:"N" description:"the revision to go back to"`
	Revision uint64 `long:"revision" value-name:"N" description:"only if this revision is in force (default: whichever is)"`
	reasonOption
}

func addRollback(parser *flags.Parser, env *environment) error {
	_, err := parser.AddCommand("rollback", "put a former revision into force again",
		`Writes the declarations of a former revision as a new revision. What is drained
stays drained, and withdrawn keys stay withdrawn.

  filberthaven history
  filberthaven rollback --to 11 --reason "the new limits were wrong"

Exit codes: as apply.`,
		&rollbackCommand{env: env})
	return err
}

// Execute runs the command.
func (c *rollbackCommand) Execute([]string) error {
	client, err := c.env.client()
	if err != nil {
		return err
	}
	expected := c.Revision
	if expected == 0 {
		live, err := client.Document(background())
		if err != nil {
			return err
		}
		expected = live.Number()
	}
	return c.env.printAccepted(client.Rollback(background(), expected, c.To, c.Reason))
}
