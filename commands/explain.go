package commands

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"

	"filberthaven.example/narrator"
	"github.com/jessevdk/go-flags"
)

// explainCommand prints why a job is in its state, or its timeline from logs.
type explainCommand struct {
	env *environment
	jobArgument
	Logs []string `long:"log" short:"l" value-name:"FILE" description:"log of an entry VM, several times for several; nothing is asked of the fleet then"`
}

// explanation is the response of the callers' API to explain, and the output with
// --json.
type explanation struct {
	ID     string `json:"id"`
	Reason string `json:"reason"`
}

func addExplain(parser *flags.Parser, env *environment) error {
	_, err := parser.AddCommand("explain", "tell why a job waits, or its story from logs",
		`Explains in a sentence, with numbers, why a job is in its state. With logs of
entry VMs it prints their lines about the job in chronological order, and the
cause of its end in a sentence, without calling the fleet.

  filberthaven explain pianura-a.0.7.12
  filberthaven explain --log vm1.log --log vm2.log 5c0e7a21d94b36f8

Exit codes: 0 printed; 1 no log has the id, or a log can't be read; 3 there is no
such job.`, &explainCommand{env: env})
	return err
}

// Execute runs the command.
func (c *explainCommand) Execute([]string) error {
	if len(c.Logs) > 0 {
		return c.printTimeline()
	}
	var result explanation
	if err := c.env.jobCall(background(), http.MethodGet, jobPath(c.Args.ID)+"/explain", nil, &result); err != nil {
		return err
	}
	return c.env.print(result, func(w io.Writer) error {
		_, err := fmt.Fprintln(w, result.Reason)
		return err
	})
}

// printTimeline prints the lines of the logs about the job, and the cause of its end.
func (c *explainCommand) printTimeline() error {
	timeline := narrator.New(c.Args.ID)
	for _, path := range c.Logs {
		if err := readLog(timeline, path); err != nil {
			return err
		}
	}
	if timeline.JobLines() == 0 {
		return fmt.Errorf("no log has %s", c.Args.ID)
	}
	return c.env.print(explanation{c.Args.ID, timeline.Cause()}, timeline.Write)
}

func readLog(timeline *narrator.Timeline, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(timeline.Read(file), file.Close())
}
