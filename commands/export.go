package commands

import (
	"io"

	"filberthaven.example/configurer"
	"github.com/jessevdk/go-flags"
)

// exportCommand prints declarations as INI.
type exportCommand struct {
	env      *environment
	Revision uint64 `long:"revision" value-name:"N" description:"a former revision instead of the one in force"`
}

func addExport(parser *flags.Parser, env *environment) error {
	_, err := parser.AddCommand("export", "print the declarations in force",
		`Prints the declarations in force as INI, including what direct commands have
set. Commit the output to version control after direct commands.

  filberthaven export > declarations/fleet.ini
  filberthaven export --revision 11

Exit codes: 0 printed; 3 there is no such revision; 5 the fleet can't be reached.`,
		&exportCommand{env: env})
	return err
}

// Execute runs the command.
func (c *exportCommand) Execute([]string) error {
	client, err := c.env.client()
	if err != nil {
		return err
	}
	var summary configurer.Summary
	if c.Revision == 0 {
		summary, err = client.Document(background())
	} else {
		summary, err = client.Revision(background(), c.Revision)
	}
	if err != nil {
		return err
	}
	return c.env.print(summary, func(w io.Writer) error {
		_, err := io.WriteString(w, summary.Text())
		return err
	})
}
