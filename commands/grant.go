package commands

import (
	"errors"
	"io"
	"time"

	"filberthaven.example/authenticator"
	"filberthaven.example/configurer"
	"github.com/jessevdk/go-flags"
)

// grantCommand creates a key of a team or of operators.
type grantCommand struct {
	env      *environment
	Team     string        `long:"team" value-name:"TEAM" description:"a key of this team"`
	Role     string        `long:"role" choice:"operator" choice:"viewer" description:"a key of operators"`
	Expires  time.Duration `long:"expires" value-name:"DURATION" description:"the key lapses after this time"`
	Note     string        `long:"note" value-name:"TEXT" description:"who holds the key"`
	Replaces string        `long:"replaces" value-name:"ID" description:"the former key lapses after the overlap"`
	Overlap  time.Duration `long:"overlap" default:"24h" value-name:"DURATION" description:"how long both keys work"`
	Declare  bool          `long:"declare" description:"print the declaration instead of granting the key"`
	reasonOption
}

// grantResult is the output of grant, the only place where the key is shown.
type grantResult struct {
	ID       string                   `json:"id"`
	Key      string                   `json:"key"`
	Accepted *configurer.ChangeResult `json:"accepted,omitempty"`
	Declared string                   `json:"declared,omitempty"` // the declaration as INI
}

var errTeamOrRole = errors.New("want either --team or --role")

func addGrant(parser *flags.Parser, env *environment) error {
	_, err := parser.AddCommand("grant", "make a key of a team or of operators",
		`Creates a random key, declares its hash, waits until it is in force on all entry
VMs, and shows the key once. The secret is not sent to the fleet.

With --replaces both keys work during the overlap, so that no request is refused
while its holders switch to the new key. With --declare the key isn't granted;
its declaration is printed, to be added to the files, such as for the first
operator's key.

  filberthaven grant --team cremona --note "office" --reason "new customer"
  filberthaven grant --team cremona --replaces 3f0c9a2be714 --overlap 48h --reason "yearly"
  filberthaven grant --role operator --declare --reason "first key"

Exit codes: as drain.`,
		&grantCommand{env: env})
	return err
}

// Execute runs the command.
func (c *grantCommand) Execute([]string) error {
	if (c.Team == "") == (c.Role == "") {
		return &exitError{exitUsage, errTeamOrRole}
	}
	generated, token := authenticator.Generate(c.Team, authenticator.TeamRole)
	key := configurer.NewKey(generated.ID(), generated.Hash(), c.Team, configurer.Role(c.Role), expiryAfter(c.Expires), c.Note)
	if c.Declare {
		return c.printResult(grantResult{ID: key.ID(), Key: token, Declared: key.Declaration()})
	}
	client, err := c.env.client()
	if err != nil {
		return err
	}
	accepted, err := client.Grant(background(), key, c.Replaces, expiryAfter(c.Overlap), c.Reason)
	if err != nil {
		return err
	}
	if err := c.printResult(grantResult{ID: key.ID(), Key: token, Accepted: &accepted}); err != nil {
		return err
	}
	if !accepted.Everywhere() {
		return &exitError{exitPartial, errPartial}
	}
	return nil
}

func (c *grantCommand) printResult(result grantResult) error {
	return c.env.print(result, func(w io.Writer) error {
		printLine(w, "id ", result.ID)
		printLine(w, "key", result.Key)
		if result.Declared != "" {
			printLine(w)
			_, err := io.WriteString(w, result.Declared)
			return err
		}
		printLine(w, "accepted as revision", result.Accepted.Revision())
		for _, vm := range result.Accepted.VMRevisions() {
			printLine(w, " ", describeVM(vm, result.Accepted.Revision()))
		}
		return nil
	})
}
