package commands

import (
	"fmt"
	"io"

	"filberthaven.example/configurer"
	"github.com/jessevdk/go-flags"
)

// planCommand shows what apply would change.
type planCommand struct {
	env  *environment
	Args folderArgument `positional-args:"yes" required:"yes"`
}

func addPlan(parser *flags.Parser, env *environment) error {
	_, err := parser.AddCommand("plan", "show what applying declarations would change",
		`Compares a folder of declarations with those in force and shows the difference
and its effects: teams that are over a new limit, what a drain moves, keys that
stop working. Nothing is changed.

What direct commands set stays: withdrawn keys, drained VMs, and the state of
data centres unless the files state it.

  filberthaven plan declarations

Exit codes: 0 planned; 3 the declarations are refused; 5 the fleet can't be reached.`,
		&planCommand{env: env})
	return err
}

// Execute runs the command.
func (c *planCommand) Execute([]string) error {
	files, err := c.Args.files()
	if err != nil {
		return err
	}
	client, err := c.env.client()
	if err != nil {
		return err
	}
	plan, err := client.Plan(background(), files)
	if err != nil {
		return err
	}
	return c.env.print(plan, func(w io.Writer) error { return writePlan(w, plan, c.Args.Folder) })
}

func writePlan(w io.Writer, plan configurer.Plan, folder string) error {
	printLine(w, "planned on revision", plan.Revision())
	if len(plan.Differences()) == 0 {
		printLine(w, "no differences")
		return nil
	}
	printLine(w)
	if _, err := io.WriteString(w, configurer.FormatDifferences(plan.Differences())); err != nil {
		return err
	}
	if len(plan.Effects()) > 0 {
		printLine(w, "\neffects:")
	}
	for _, effect := range plan.Effects() {
		printLine(w, "  -", effect)
	}
	_, err := fmt.Fprintf(w, "\napply with: filberthaven apply --revision %d --reason TEXT %s\n", plan.Revision(), folder)
	return err
}
