package commands

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"filberthaven.example/configurer"
	"github.com/jessevdk/go-flags"
)

// keysCommand lists all keys with their holders and last use.
type keysCommand struct {
	env *environment
}

func addKeys(parser *flags.Parser, env *environment) error {
	_, err := parser.AddCommand("keys", "list keys with their holders and last use",
		`Lists all keys, without secrets or hashes. A use is known to the entry VM that
accepted the key, until it is replaced.

  filberthaven keys

Exit codes: 0 printed; 5 the fleet can't be reached; 6 printed, but some entry
VMs were not reached, so that uses may be missing.`, &keysCommand{env: env})
	return err
}

// Execute runs the command.
func (c *keysCommand) Execute([]string) error {
	client, err := c.env.client()
	if err != nil {
		return err
	}
	keys, complete, err := client.Keys(background())
	if err != nil {
		return err
	}
	err = c.env.print(keys, func(w io.Writer) error { return writeKeys(w, keys) })
	if err == nil && !complete {
		return &exitError{exitPartial, errIncomplete}
	}
	return err
}

func writeKeys(w io.Writer, keys []configurer.KeyUse) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	printLine(table, "ID\tHOLDER\tSTATE\tEXPIRES\tLAST USE\tNOTE")
	for _, key := range keys {
		printLine(table, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s", key.ID(), key.Holder(), keyState(key),
			timeOr(key.Expires(), "never"), timeOr(key.Used(), "unknown"), key.Note()))
	}
	return table.Flush()
}

// keyState returns the state as keys prints it. An expired key is "lapsed".
func keyState(key configurer.KeyUse) string {
	switch {
	case key.Withdrawn():
		return "withdrawn"
	case key.Active():
		return "active"
	}
	return "lapsed"
}

// timeOr formats a time, or returns zeroText for the zero time.
func timeOr(t time.Time, zeroText string) string {
	if t.IsZero() {
		return zeroText
	}
	return t.Format(time.RFC3339)
}
