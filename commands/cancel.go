package commands

import (
	"net/http"

	"github.com/jessevdk/go-flags"
)

// cancelCommand cancels a job.
type cancelCommand struct {
	env *environment
	jobArgument
}

func addCancel(parser *flags.Parser, env *environment) error {
	_, err := parser.AddCommand("cancel", "cancel a job",
		`Cancels a job: pending tasks never start, running tasks are stopped.

  filberthaven cancel pianura-a.0.7.12

Exit codes: 0 cancelled or ended before; 3 there is no such job; 5 the outcome is
unknown, repeat it.`, &cancelCommand{env: env})
	return err
}

// Execute runs the command.
func (c *cancelCommand) Execute([]string) error {
	var cancelled job
	if err := c.env.jobCall(background(), http.MethodDelete, jobPath(c.Args.ID), nil, &cancelled); err != nil {
		return err
	}
	return c.env.print(cancelled, cancelled.write)
}
