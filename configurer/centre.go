package configurer

import (
	"fmt"
	"strconv"

	"filberthaven.example/loader"
)

// State says whether a data centre or a VM takes work.
type State string

// The states, as written in declarations. A VM is never Lost.
const (
	InService    State = "in"   // takes new work
	OutOfService State = "out"  // drained: starts nothing new and hands over what it can
	Lost         State = "lost" // declared lost: its jobs continue in other data centres
)

// maxShards is the largest number of shards of a data centre.
const maxShards = 64

// Centre is a declared data centre.
type Centre struct {
	name          string // never empty
	state         State
	reason        string // why the data centre takes no work; then never empty
	shards        int    // from 1 to maxShards
	stateDeclared bool   // the document declares the state; if not, it is the default
}

// Name returns the name of the data centre.
func (c Centre) Name() string { return c.name }

// State returns the state of the data centre.
func (c Centre) State() State { return c.state }

// Reason returns why the data centre takes no work, as declared.
func (c Centre) Reason() string { return c.reason }

// Shards returns the names of the data centre's shards, such as pianura-a.0.
func (c Centre) Shards() []string {
	names := make([]string, c.shards)
	for i := range names {
		names[i] = fmt.Sprintf("%s.%d", c.name, i)
	}
	return names
}

func decodeCentre(s *loader.Section) Centre {
	return Centre{
		name:          s.Name(),
		state:         State(loader.Get(s, "state", loader.OneOf(string(InService), string(OutOfService), string(Lost)), string(InService))),
		reason:        loader.Get(s, "reason", loader.Text, ""),
		shards:        loader.Get(s, "shards", loader.Int, 1, loader.Between(1, maxShards)),
		stateDeclared: s.Has("state"),
	}
}

// block omits the state of a data centre in service, so that applying exported files
// doesn't undo a later drain.
func (c Centre) block() loader.Block {
	state := string(c.state)
	if c.state == InService {
		state = ""
	}
	return loader.NewBlock("centre", c.name,
		loader.NewPair("state", state),
		loader.NewPair("reason", c.reason),
		loader.NewPair("shards", strconv.Itoa(c.shards)))
}

// VM is a VM that operators took out of service. VMs in service are not declared.
type VM struct {
	id     string // never empty
	reason string // never empty
}

// ID returns the id of the VM.
func (v VM) ID() string { return v.id }

// Reason returns why the VM takes no work.
func (v VM) Reason() string { return v.reason }

func decodeVM(s *loader.Section) VM {
	loader.Get(s, "state", loader.OneOf(string(OutOfService)), string(OutOfService))
	return VM{id: s.Name(), reason: loader.Require(s, "reason", loader.Text)}
}

func (v VM) block() loader.Block {
	return loader.NewBlock("vm", v.id, loader.NewPair("state", string(OutOfService)), loader.NewPair("reason", v.reason))
}
