package commands

import "github.com/jessevdk/go-flags"

// applyCommand applies declarations if the revision that they were planned on is
// still in force.
type applyCommand struct {
	env      *environment
	Revision uint64 `long:"revision" required:"yes" value-name:"N" description:"the revision that was planned on; 0 for the first"`
	reasonOption
	Args folderArgument `positional-args:"yes" required:"yes"`
}

func addApply(parser *flags.Parser, env *environment) error {
	_, err := parser.AddCommand("apply", "put declarations into force",
		`Writes a folder of declarations if the revision in force is still the one that
was planned on, waits until it is in force on all entry VMs, and says on which.

  filberthaven plan declarations
  filberthaven apply --revision 12 --reason "two teams for the harvest" declarations

Exit codes: 0 in force everywhere; 3 refused; 4 another change came first, plan
again; 5 the fleet can't be reached, or the outcome is unknown (see history);
6 accepted, but some entry VMs were not reached.`,
		&applyCommand{env: env})
	return err
}

// Execute runs the command.
func (c *applyCommand) Execute([]string) error {
	files, err := c.Args.files()
	if err != nil {
		return err
	}
	client, err := c.env.client()
	if err != nil {
		return err
	}
	return c.env.printAccepted(client.Apply(background(), c.Revision, files, c.Reason))
}
