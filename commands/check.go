package commands

import (
	"fmt"
	"io"
	"os"

	"filberthaven.example/configurer"
	"filberthaven.example/server"
	"github.com/jessevdk/go-flags"
)

// checkCommand validates files without calling the fleet.
type checkCommand struct {
	env      *environment
	Settings bool `long:"settings" description:"the path is the settings file of an entry VM"`
	Args     struct {
		Path string `positional-arg-name:"PATH" description:"folder of declarations, or a settings file with --settings"`
	} `positional-args:"yes" required:"yes"`
}

// checkResult is the output of check, and of serve and entry with --check.
type checkResult struct {
	Path string `json:"path"`
	OK   bool   `json:"ok"`
}

func addCheck(parser *flags.Parser, env *environment) error {
	_, err := parser.AddCommand("check", "check declarations or settings",
		`Validates a folder of declarations, or a settings file, without calling the
fleet. Each error names file, line, section and key.

  filberthaven check declarations
  filberthaven check --settings entry-1.ini

Exit codes: 0 no errors; 3 errors were found.`, &checkCommand{env: env})
	return err
}

// Execute runs the command.
func (c *checkCommand) Execute([]string) error {
	var err error
	if c.Settings {
		_, err = server.LoadSettings(c.Args.Path)
	} else {
		_, err = configurer.ParseFolder(os.DirFS(c.Args.Path))
	}
	if err != nil {
		return err
	}
	return c.env.print(checkResult{Path: c.Args.Path, OK: true}, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s: no errors\n", c.Args.Path)
		return err
	})
}
