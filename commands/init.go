package commands

import (
	"errors"
	"fmt"
	"io"
	"os"

	"filberthaven.example/configurer"
	"filberthaven.example/keeper"
	"github.com/jessevdk/go-flags"
)

// initCommand writes the first declarations.
type initCommand struct {
	env      *environment
	Platform string `long:"platform" required:"yes" value-name:"URL" description:"the platform's key-value service"`
	Args     struct {
		Folder string `positional-arg-name:"FOLDER" description:"folder of declarations"`
	} `positional-args:"yes" required:"yes"`
}

func addInit(parser *flags.Parser, env *environment) error {
	_, err := parser.AddCommand("init", "write the first declarations of a fleet",
		`Writes the first revision of the declarations directly to the platform instead
of through an entry VM, because no operator's key exists before it. It is
refused once a revision exists. Declare an operator's key first with grant
--declare.

  filberthaven init --platform http://10.0.0.5:7070 declarations

Exit codes: 0 written; 3 the declarations have errors; 4 there is a revision
already; 5 the platform can't be reached, or the outcome is unknown.`, &initCommand{env: env})
	return err
}

// Execute runs the command.
func (c *initCommand) Execute([]string) error {
	document, err := configurer.ParseFolder(os.DirFS(c.Args.Folder))
	if err != nil {
		return err
	}
	client, err := keeper.New(c.Platform)
	if err != nil {
		return err
	}
	store := client.Store()
	if _, err := store.Get(background(), configurer.LiveKey); !errors.Is(err, keeper.ErrNotFound) {
		if err == nil {
			return configurer.ErrConflict
		}
		return err
	}
	writer := configurer.NewWriter(store, configurer.NewCopy())
	revision, err := writer.Apply(background(), 0, document, "init", "first declarations")
	if err != nil {
		return err
	}
	return c.env.print(newInitResult(revision), func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "revision %d written\n", revision)
		return err
	})
}

// initResult is the output of init.
type initResult struct {
	Revision uint64 `json:"revision"`
}

func newInitResult(revision uint64) initResult { return initResult{Revision: revision} }
