package configurer

import (
	"slices"
	"strings"

	"filberthaven.example/loader"
)

// Queue is a declared queue, which jobs are submitted to.
type Queue struct {
	name  string   // never empty
	open  bool     // accepts work without a key; then there is exactly one team
	teams []string // that may use it; if open, the one that its work counts for; empty: any team
}

// Name returns the name of the queue.
func (q Queue) Name() string { return q.name }

// Open reports whether work is accepted without a key. Such work counts for Owner.
func (q Queue) Open() bool { return q.open }

// Owner returns the team that the work of an open queue counts for, or "" if the queue is
// not open.
func (q Queue) Owner() string {
	if !q.open || len(q.teams) == 0 {
		return ""
	}
	return q.teams[0]
}

// Admits reports whether the team may use the queue.
func (q Queue) Admits(team string) bool {
	return len(q.teams) == 0 || slices.Contains(q.teams, team)
}

func decodeQueue(s *loader.Section) Queue {
	return Queue{
		name:  s.Name(),
		open:  loader.Get(s, "open", loader.Bool, false),
		teams: loader.Get(s, "teams", loader.List(loader.Word), nil),
	}
}

func (q Queue) block() loader.Block {
	return loader.NewBlock("queue", q.name,
		loader.NewPair("open", formatBool(q.open)),
		loader.NewPair("teams", strings.Join(q.teams, ", ")))
}
