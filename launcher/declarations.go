package launcher

import (
	"fmt"
	"strings"

	"filberthaven.example/authenticator"
)

// Names in the declarations of a demo fleet.
const (
	demoTeam    = "demo"
	demoService = "echo"
	demoQueue   = "default"
)

// declarations returns the first declarations of a fleet, and the keys in them.
func declarations(centres []string) (string, Keys) {
	var text strings.Builder
	operator, operatorText := authenticator.Generate("", authenticator.OperatorRole)
	team, teamText := authenticator.Generate(demoTeam, authenticator.TeamRole)
	fmt.Fprintf(&text, "[key %q]\nhash = %s\nrole = operator\nnote = demo operator\n\n", operator.ID(), operator.Hash())
	fmt.Fprintf(&text, "[key %q]\nhash = %s\nteam = %s\nnote = demo team\n\n", team.ID(), team.Hash(), demoTeam)
	fmt.Fprintf(&text, "[team %q]\nshare = 1\nlimit = 96\n\n", demoTeam)
	fmt.Fprintf(&text, "[queue %q]\n\n[service %q]\ncentres = %s\n", demoQueue, demoService, strings.Join(centres, ", "))
	for _, centre := range centres {
		fmt.Fprintf(&text, "\n[centre %q]\nstate = in\n", centre)
	}
	return text.String(), Keys{operator: operatorText, team: teamText, teamID: team.ID()}
}
