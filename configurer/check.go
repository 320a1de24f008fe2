package configurer

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// Reasons why declarations are refused.
var (
	// ErrReference means that a name refers to nothing.
	ErrReference = errors.New("not declared")
	// ErrReason means that a written reason is missing.
	ErrReason = errors.New("a written reason is required")
	// ErrBound means that a declaration would pass one of the bounds.
	ErrBound = errors.New("over the bound")
	// ErrLastCentre means that no data centre would be left to take work.
	ErrLastCentre = errors.New("the last data centre in service can't be taken out")
)

// fault is a declaration that the document as a whole doesn't permit.
type fault struct {
	kind, name, key string
	err             error
}

// checker collects the faults of a document.
type checker struct {
	document *Document
	faults   []fault
}

// check returns the faults of the document as a whole.
func (d *Document) check() []fault {
	c := &checker{document: d}
	c.checkCentres()
	c.checkTeams()
	c.checkQueues()
	c.checkServices()
	c.checkKeys()
	c.checkExceptions()
	return c.faults
}

func (c *checker) refuse(kind, name, key string, err error) {
	c.faults = append(c.faults, fault{kind, name, key, err})
}

// refer refuses a name that is not in the table.
func refer[T any](c *checker, t table[T], target, name string, kind, in, key string) {
	if !t.has(name) {
		c.refuse(kind, in, key, fmt.Errorf("%s %q: %w", target, name, ErrReference))
	}
}

func (c *checker) checkCentres() {
	in, last := 0, ""
	for centre := range c.document.centres.all() {
		if centre.state == In {
			in++
			continue
		}
		last = centre.name
		if centre.reason == "" {
			c.refuse("centre", centre.name, "reason", ErrReason)
		}
	}
	if in == 0 && last != "" {
		c.refuse("centre", last, "state", ErrLastCentre)
	}
	if len(c.document.centres.names) == 0 {
		c.refuse("", "", "", fmt.Errorf("[centre] %w: at least one data centre is required", ErrReference))
	}
}

func (c *checker) checkTeams() {
	bounds := c.document.bounds
	if n := len(c.document.teams.names); bounds.teams > 0 && n > bounds.teams {
		c.refuse("bounds", "", "teams", fmt.Errorf("%w: %d teams, at most %d", ErrBound, n, bounds.teams))
	}
	now := c.document.At(time.Time{})
	sum := 0.0
	for team := range c.document.teams.all() {
		sum += now.Share(team.name)
		c.checkAmounts("team", team.name, team.values)
	}
	if bounds.shares > 0 && sum > bounds.shares {
		c.refuse("bounds", "", "shares",
			fmt.Errorf("%w: the teams' shares are %s, at most %s", ErrBound, formatFloat(sum), formatFloat(bounds.shares)))
	}
	c.checkAmounts("defaults", "", c.document.defaults)
}

// checkAmounts refuses limits and slots over the bounds, "none" included.
func (c *checker) checkAmounts(kind, name string, v values) {
	bounds := c.document.bounds
	limitKey, slotsKey := "limit", "slots"
	if kind == "exception" {
		limitKey, slotsKey = "value", "value"
	}
	if limit := v.limit; limit.set && limit.value > bounds.limit {
		c.refuse(kind, name, limitKey, fmt.Errorf("%w: %s processors, at most %s",
			ErrBound, FormatProcessors(limit.value), FormatProcessors(bounds.limit)))
	}
	if slots := v.slots; slots.set && slots.value > bounds.slots {
		c.refuse(kind, name, slotsKey, fmt.Errorf("%w: %s slots, at most %s",
			ErrBound, FormatCount(slots.value), FormatCount(bounds.slots)))
	}
}

func (c *checker) checkQueues() {
	for queue := range c.document.queues.all() {
		for _, team := range queue.teams {
			refer(c, c.document.teams, "team", team, "queue", queue.name, "teams")
		}
		if queue.open && len(queue.teams) != 1 {
			c.refuse("queue", queue.name, "teams", errors.New("an open queue names the one team that its work counts for"))
		}
	}
}

func (c *checker) checkServices() {
	for service := range c.document.services.all() {
		for _, centre := range service.centres {
			refer(c, c.document.centres, "centre", centre, "service", service.name, "centres")
		}
	}
}

func (c *checker) checkKeys() {
	for key := range c.document.keys.all() {
		if (key.team == "") == (key.role == NoRole) {
			c.refuse("key", key.id, "team", errors.New("a key has either a team or a role"))
		}
		if key.team != "" {
			refer(c, c.document.teams, "team", key.team, "key", key.id, "team")
		}
	}
}

func (c *checker) checkExceptions() {
	first := map[string]string{}
	for e := range c.document.exceptions.all() {
		c.checkScope(e)
		c.checkAmounts("exception", e.name, e.values)
		place := e.scope.String() + " " + e.key
		if other, taken := first[place]; taken {
			c.refuse("exception", e.name, "key", fmt.Errorf("exception %q has the same scope and key", other))
		}
		first[place] = cmp.Or(first[place], e.name)
	}
}

func (c *checker) checkScope(e Exception) {
	switch e.scope.kind {
	case "team":
		refer(c, c.document.teams, "team", e.scope.name, "exception", e.name, "scope")
	case "service":
		refer(c, c.document.services, "service", e.scope.name, "exception", e.name, "scope")
	case "centre":
		refer(c, c.document.centres, "centre", e.scope.name, "exception", e.name, "scope")
	}
	if !e.scope.permits(e.key) {
		c.refuse("exception", e.name, "key", fmt.Errorf("a %s has no %s", e.scope.kind, e.key))
	}
}
