package commands

import (
	"encoding/json"
	"fmt"
	"io"
)

// environment holds the global options, which the parser sets, and the writers for
// output and errors. All commands share it.
type environment struct {
	Address   string `long:"address" env:"FILBERTHAVEN_ADDRESS" value-name:"URL" description:"an entry VM or the balancer, such as https://10.0.1.1:8443"`
	Key       string `long:"key" env:"FILBERTHAVEN_KEY" value-name:"KEY" description:"an operator's or a team's key; better set in the environment" default-mask:"-"`
	Authority string `long:"authority" env:"FILBERTHAVEN_AUTHORITY" value-name:"FILE" description:"PEM certificates that sign the entry VMs, when they are not the system's"`
	JSON      bool   `long:"json" description:"print JSON"`
	Version   bool   `long:"version" description:"print the version and exit"`

	stdout, stderr io.Writer
}

// print writes value as JSON with --json, and otherwise calls text to write it.
func (e *environment) print(value any, text func(w io.Writer) error) error {
	if !e.JSON {
		return text(e.stdout)
	}
	encoder := json.NewEncoder(e.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printLine writes a line to a terminal or pipe. A failed write is ignored, because
// there is nowhere to report it.
func printLine(w io.Writer, words ...any) { _, _ = fmt.Fprintln(w, words...) }
