package commands

import (
	"errors"
	"fmt"
	"io"
	"os"

	"filberthaven.example/narrator"
	"github.com/jessevdk/go-flags"
)

// storyCommand explains a job or request from logs.
type storyCommand struct {
	env  *environment
	Logs []string `long:"log" short:"l" required:"yes" value-name:"FILE" description:"log of an entry VM, several times for several"`
	Args struct {
		ID string `positional-arg-name:"ID" required:"yes"`
	} `positional-args:"yes"`
}

func addStory(parser *flags.Parser, env *environment) error {
	_, err := parser.AddCommand("story", "explain a job from the logs of entry VMs",
		`Reads the logs of any number of entry VMs, prints what they say of one job in the
order of time, and the cause of its end in a sentence.

  filberthaven story --log vm1.log --log vm2.log 5c0e7a21d94b36f8

Exit codes: 0 printed; 1 no log has the id, or a log can't be read.`, &storyCommand{env: env})
	return err
}

// Execute carries out the command.
func (c *storyCommand) Execute([]string) error {
	story := narrator.New(c.Args.ID)
	for _, path := range c.Logs {
		if err := readLog(story, path); err != nil {
			return err
		}
	}
	if story.Len() == 0 {
		return fmt.Errorf("no log has %s", c.Args.ID)
	}
	return c.env.print(story, func(w io.Writer) error { return story.Write(w) })
}

func readLog(story *narrator.Story, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(story.Read(file), file.Close())
}
