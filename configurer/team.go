package configurer

import "filberthaven.example/loader"

// Team is a customer of the fleet. A Resolver returns what it may use.
type Team struct {
	name   string // never empty
	values values // declared for the team itself, without exceptions and defaults
}

// Name returns the name of the team.
func (t Team) Name() string { return t.name }

func decodeTeam(s *loader.Section) Team {
	return Team{name: s.Name(), values: decodeValues(s, teamKeys...)}
}

func (t Team) block() loader.Block { return loader.NewBlock("team", t.name, t.values.pairs()...) }
