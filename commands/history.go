package commands

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"
)

// historyCommand lists the revisions of the declarations with time, author and
// reason.
type historyCommand struct {
	env   *environment
	Limit int `long:"limit" default:"20" value-name:"N" description:"print at most N revisions"`
}

func addHistory(parser *flags.Parser, env *environment) error {
	_, err := parser.AddCommand("history", "show who changed the declarations, when and why",
		`Lists the revisions that are kept, the newest first.

  filberthaven history --limit 5

Exit codes: 0 printed; 5 the fleet or the key-value service can't be reached.`,
		&historyCommand{env: env})
	return err
}

// Execute runs the command.
func (c *historyCommand) Execute([]string) error {
	client, err := c.env.client()
	if err != nil {
		return err
	}
	revisions, err := client.History(background())
	if err != nil {
		return err
	}
	revisions = revisions[:min(max(c.Limit, 0), len(revisions))]
	return c.env.print(revisions, func(w io.Writer) error {
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		printLine(table, "REVISION\tTIME\tAUTHOR\tREASON")
		for _, r := range revisions {
			printLine(table, fmt.Sprintf("%d\t%s\t%s\t%s", r.Number(), r.Time().Format(time.RFC3339), r.Author(), r.Reason()))
		}
		return table.Flush()
	})
}
