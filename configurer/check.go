package configurer

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// Faults of declarations.
var (
	// ErrReference means that a change or declaration names something that is not declared.
	ErrReference = errors.New("not declared")
	// ErrReason means that a change or a state lacks its written reason.
	ErrReason = errors.New("a written reason is required")
	// ErrBound means that a declaration exceeds one of the bounds.
	ErrBound = errors.New("over the bound")
	// ErrLastCentre means that no data centre would be left in service.
	ErrLastCentre = errors.New("the last data centre in service can't be taken out")
)

// fault is an error that check found in a document.
type fault struct {
	kind, name, key string // section and key at which it is reported; any may be empty
	err             error
}

// checker collects the faults of one document.
type checker struct {
	document *Document
	faults   []fault
}

// check returns the faults that decoding a single section doesn't find, such as references
// to names that are not declared.
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

func (c *checker) addFault(kind, name, key string, err error) {
	c.faults = append(c.faults, fault{kind, name, key, err})
}

// checkReference adds a fault at the key of a section, given by its kind and name, if the
// key refers to a target that is not in the table.
func checkReference[T any](c *checker, t table[T], targetKind, target string, kind, name, key string) {
	if !t.has(target) {
		c.addFault(kind, name, key, fmt.Errorf("%s %q: %w", targetKind, target, ErrReference))
	}
}

func (c *checker) checkCentres() {
	inService, lastOut := 0, ""
	for centre := range c.document.centres.all() {
		if centre.state == InService {
			inService++
			continue
		}
		lastOut = centre.name
		if centre.reason == "" {
			c.addFault("centre", centre.name, "reason", ErrReason)
		}
	}
	if inService == 0 && lastOut != "" {
		c.addFault("centre", lastOut, "state", ErrLastCentre)
	}
	if len(c.document.centres.names) == 0 {
		c.addFault("", "", "", fmt.Errorf("[centre] %w: at least one data centre is required", ErrReference))
	}
}

func (c *checker) checkTeams() {
	bounds := c.document.bounds
	if n := len(c.document.teams.names); bounds.teams > 0 && n > bounds.teams {
		c.addFault("bounds", "", "teams", fmt.Errorf("%w: %d teams, at most %d", ErrBound, n, bounds.teams))
	}
	// Every exception is active at the zero time, expired ones included.
	resolver := c.document.At(time.Time{})
	sum := 0.0
	for team := range c.document.teams.all() {
		sum += resolver.Share(team.name)
		c.checkAmounts("team", team.name, team.values)
	}
	if bounds.shares > 0 && sum > bounds.shares {
		c.addFault("bounds", "", "shares",
			fmt.Errorf("%w: the teams' shares are %s, at most %s", ErrBound, formatFloat(sum), formatFloat(bounds.shares)))
	}
	c.checkAmounts("defaults", "", c.document.defaults)
}

// checkAmounts adds faults for a limit and slots over the bounds. The amount none exceeds
// every bound that is set.
func (c *checker) checkAmounts(kind, name string, v values) {
	bounds := c.document.bounds
	limitKey, slotsKey := "limit", "slots"
	if kind == "exception" {
		limitKey, slotsKey = "value", "value"
	}
	if limit := v.limit; limit.set && limit.value > bounds.limit {
		c.addFault(kind, name, limitKey, fmt.Errorf("%w: %s processors, at most %s",
			ErrBound, FormatProcessors(limit.value), FormatProcessors(bounds.limit)))
	}
	if slots := v.slots; slots.set && slots.value > bounds.slots {
		c.addFault(kind, name, slotsKey, fmt.Errorf("%w: %s slots, at most %s",
			ErrBound, FormatCount(slots.value), FormatCount(bounds.slots)))
	}
}

func (c *checker) checkQueues() {
	for queue := range c.document.queues.all() {
		for _, team := range queue.teams {
			checkReference(c, c.document.teams, "team", team, "queue", queue.name, "teams")
		}
		if queue.open && len(queue.teams) != 1 {
			c.addFault("queue", queue.name, "teams", errors.New("an open queue names the one team that its work counts for"))
		}
	}
}

func (c *checker) checkServices() {
	for service := range c.document.services.all() {
		for _, centre := range service.centres {
			checkReference(c, c.document.centres, "centre", centre, "service", service.name, "centres")
		}
	}
}

func (c *checker) checkKeys() {
	for key := range c.document.keys.all() {
		if (key.team == "") == (key.role == NoRole) {
			c.addFault("key", key.id, "team", errors.New("a key has either a team or a role"))
		}
		if key.team != "" {
			checkReference(c, c.document.teams, "team", key.team, "key", key.id, "team")
		}
	}
}

func (c *checker) checkExceptions() {
	declared := map[string]string{} // name of the exception by scope and key
	for e := range c.document.exceptions.all() {
		c.checkScope(e)
		c.checkAmounts("exception", e.name, e.values)
		target := e.scope.String() + " " + e.key
		if other, taken := declared[target]; taken {
			c.addFault("exception", e.name, "key", fmt.Errorf("exception %q has the same scope and key", other))
		}
		declared[target] = cmp.Or(declared[target], e.name)
	}
}

func (c *checker) checkScope(e Exception) {
	switch e.scope.kind {
	case "team":
		checkReference(c, c.document.teams, "team", e.scope.name, "exception", e.name, "scope")
	case "service":
		checkReference(c, c.document.services, "service", e.scope.name, "exception", e.name, "scope")
	case "centre":
		checkReference(c, c.document.centres, "centre", e.scope.name, "exception", e.name, "scope")
	}
	if !e.scope.permits(e.key) {
		c.addFault("exception", e.name, "key", fmt.Errorf("a %s has no %s", e.scope.kind, e.key))
	}
}
