package commands

import (
	"fmt"
	"io"
	"net/http"

	"github.com/jessevdk/go-flags"
)

// explainCommand tells why a job waits.
type explainCommand struct {
	env *environment
	jobArgument
}

// explanation is the answer to explain.
type explanation struct {
	ID     string `json:"id"`
	Reason string `json:"reason"`
}

func addExplain(parser *flags.Parser, env *environment) error {
	_, err := parser.AddCommand("explain", "tell why a job waits",
		`Tells in a sentence and in numbers why a job is in its state.

  filberthaven explain pianura-a.0.7.12

Exit codes: 0 printed; 3 there is no such job.`, &explainCommand{env: env})
	return err
}

// Execute carries out the command.
func (c *explainCommand) Execute([]string) error {
	var seen explanation
	if err := c.env.jobCall(background(), http.MethodGet, jobPath(c.Args.ID)+"/explain", nil, &seen); err != nil {
		return err
	}
	return c.env.print(seen, func(w io.Writer) error {
		_, err := fmt.Fprintln(w, seen.Reason)
		return err
	})
}
