package commands

import (
	"errors"
	"io"

	"filberthaven.example/configurer"
	"filberthaven.example/loader"
	"github.com/jessevdk/go-flags"
)

// diffCommand compares a folder of declarations with those in force.
type diffCommand struct {
	env  *environment
	Args folderArgument `positional-args:"yes" required:"yes"`
}

var errDiffers = errors.New("the declarations differ")

func addDiff(parser *flags.Parser, env *environment) error {
	_, err := parser.AddCommand("diff", "compare declarations with those in force",
		`Shows every difference between the declarations in force and a folder, including
what direct commands have set since. Lines with + are only in the folder.

  filberthaven diff declarations

Exit codes: 0 no differences; 7 differences; 3 the declarations have errors;
5 the fleet can't be reached.`,
		&diffCommand{env: env})
	return err
}

// Execute runs the command.
func (c *diffCommand) Execute([]string) error {
	files, err := c.Args.files()
	if err != nil {
		return err
	}
	client, err := c.env.client()
	if err != nil {
		return err
	}
	live, err := client.Document(background())
	if err != nil {
		return err
	}
	differences, err := compareDeclarations(loader.NewFile("in force", []byte(live.Text())), files)
	if err != nil {
		return err
	}
	err = c.env.print(differences, func(w io.Writer) error {
		_, err := io.WriteString(w, configurer.FormatDifferences(differences))
		return err
	})
	if err == nil && len(differences) > 0 {
		return &exitError{exitDiffers, errDiffers}
	}
	return err
}

// compareDeclarations returns the differences from the declarations in force to the
// files.
func compareDeclarations(live loader.File, files []loader.File) ([]configurer.Difference, error) {
	before, err := configurer.Parse(live)
	if err != nil {
		return nil, err
	}
	after, err := configurer.Parse(files...)
	if err != nil {
		return nil, err
	}
	return configurer.Compare(before, after), nil
}
