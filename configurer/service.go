package configurer

import (
	"slices"
	"strconv"
	"strings"

	"filberthaven.example/loader"
)

// Defaults and upper bound of the slots and connections of a service's executors.
const (
	defaultSlots       = 8
	defaultConnections = 64
	maxSlots           = 1 << 16 // bounds connections too
)

// Service is a declared service, whose executors run urgent requests.
type Service struct {
	name        string   // never empty
	centres     []string // data centres with executors of the service; never empty
	slots       int      // concurrent requests on an executor; from 1 to maxSlots
	connections int      // concurrent connections to an executor; from 1 to maxSlots
	values      values   // declared for the service itself, without exceptions and defaults
}

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// Centres returns the data centres that have executors of the service.
func (s Service) Centres() []string { return slices.Clone(s.centres) }

// Slots returns how many requests an executor runs concurrently.
func (s Service) Slots() int { return s.slots }

// Connections returns how many concurrent connections an executor accepts.
func (s Service) Connections() int { return s.connections }

func decodeService(s *loader.Section) Service {
	return Service{
		name:        s.Name(),
		centres:     loader.Require(s, "centres", loader.List(loader.Word), loader.NotEmpty),
		slots:       loader.Get(s, "slots", loader.Int, defaultSlots, loader.Between(1, maxSlots)),
		connections: loader.Get(s, "connections", loader.Int, defaultConnections, loader.Between(1, maxSlots)),
		values:      decodeValues(s, serviceKeys...),
	}
}

func (s Service) block() loader.Block {
	pairs := []loader.Pair{
		loader.NewPair("centres", strings.Join(s.centres, ", ")),
		loader.NewPair("slots", strconv.Itoa(s.slots)),
		loader.NewPair("connections", strconv.Itoa(s.connections)),
	}
	return loader.NewBlock("service", s.name, append(pairs, s.values.pairs()...)...)
}
