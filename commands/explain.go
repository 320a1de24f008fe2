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

// explainCommand tells why a job waits, or its story from logs.
type explainCommand struct {
	env *environment
	jobArgument
	Logs []string `long:"log" short:"l" value-name:"FILE" description:"log of an entry VM, several times for several; nothing is asked of the fleet then"`
}

// explanation is the answer to explain.
type explanation struct {
	ID     string `json:"id"`
	Reason string `json:"reason"`
}

func addExplain(parser *flags.Parser, env *environment) error {
	_, err := parser.AddCommand("explain", "tell why a job waits, or its story from logs",
		`Tells in a sentence and in numbers why a job is in its state. With logs of entry
VMs it prints what they say of the job in the order of time, and the cause of its
end in a sentence; nothing is asked of the fleet.

  filberthaven explain pianura-a.0.7.12
  filberthaven explain --log vm1.log --log vm2.log 5c0e7a21d94b36f8

Exit codes: 0 printed; 1 no log has the id, or a log can't be read; 3 there is no
such job.`, &explainCommand{env: env})
	return err
}

// Execute carries out the command.
func (c *explainCommand) Execute([]string) error {
	if len(c.Logs) > 0 {
		return c.tell()
	}
	var seen explanation
	if err := c.env.jobCall(background(), http.MethodGet, jobPath(c.Args.ID)+"/explain", nil, &seen); err != nil {
		return err
	}
	return c.env.print(seen, func(w io.Writer) error {
		_, err := fmt.Fprintln(w, seen.Reason)
		return err
	})
}

// tell prints the job's story from the logs.
func (c *explainCommand) tell() error {
	story := narrator.New(c.Args.ID)
	for _, path := range c.Logs {
		if err := readLog(story, path); err != nil {
			return err
		}
	}
	if story.Len() == 0 {
		return fmt.Errorf("no log has %s", c.Args.ID)
	}
	return c.env.print(explanation{c.Args.ID, story.Cause()}, story.Write)
}

func readLog(story *narrator.Timeline, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(story.Read(file), file.Close())
}
