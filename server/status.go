package server

import "time"

// Status is what one entry VM knows about the fleet. Its fields are exported for
// JSON and for the status page. Processors are counted in thousandths.
type Status struct {
	Time     time.Time      `json:"time"`     // when the entry VM put the status together
	VM       string         `json:"vm"`       // the entry VM that answers
	Centre   string         `json:"centre"`   // its data centre
	Version  string         `json:"version"`  // of the program
	Revision uint64         `json:"revision"` // of the declarations in force there
	Complete bool           `json:"complete"` // the owners of all shards told what runs; otherwise used, running and pending lack theirs
	Fleet    FleetStatus    `json:"fleet"`
	Teams    []TeamStatus   `json:"teams"`   // by name
	Centres  []CentreStatus `json:"centres"` // by name
	Shards   []ShardStatus  `json:"shards"`  // by name
	VMs      []VMStatus     `json:"vms"`     // entry VMs by id
	Platform PlatformStatus `json:"platform"`
}

// FleetStatus sums up the fleet.
type FleetStatus struct {
	Workers    int   `json:"workers"`
	Executors  int   `json:"executors"`
	Processors int64 `json:"processors"` // offered by workers
	Used       int64 `json:"used"`       // set aside for running tasks
	Running    int   `json:"running"`    // tasks
	Pending    int   `json:"pending"`    // tasks
	Flight     int   `json:"flight"`     // urgent requests
}

// TeamStatus is a team against its share and limits.
type TeamStatus struct {
	Name    string  `json:"name"`
	Share   float64 `json:"share"`   // weight
	Part    float64 `json:"part"`    // dominant share of the fleet in use, 0 to 1
	Limit   int64   `json:"limit"`   // configurer.Unlimited and above: none
	Used    int64   `json:"used"`    // processors running
	Slots   int64   `json:"slots"`   // configurer.Unlimited and above: none
	Flight  int     `json:"flight"`  // urgent requests
	Pending int     `json:"pending"` // tasks
}

// CentreStatus is a data centre.
type CentreStatus struct {
	Name    string `json:"name"`
	State   string `json:"state"` // in, out or lost
	Reason  string `json:"reason,omitempty"`
	Entries int    `json:"entries"` // entry VMs alive
	Workers int    `json:"workers"`
	Running int    `json:"running"` // tasks
	Pending int    `json:"pending"` // tasks
}

// ShardStatus is a shard with its owner.
type ShardStatus struct {
	Name    string `json:"name"`
	Owner   string `json:"owner"` // empty when none is known
	Address string `json:"address"`
	Term    uint64 `json:"term"`
}

// VMStatus is an entry VM as others see it.
type VMStatus struct {
	ID       string `json:"id"`
	Centre   string `json:"centre"`
	Address  string `json:"address"`
	Revision uint64 `json:"revision"` // of the declarations in force there
	Reached  bool   `json:"reached"`
}

// PlatformStatus counts the entry VM's calls to the platform.
type PlatformStatus struct {
	Contact bool    `json:"contact"` // the key-value service answers
	Reads   float64 `json:"reads"`   // per second over the last minute
	Writes  float64 `json:"writes"`  // per second over the last minute
	Errors  float64 `json:"errors"`  // per second over the last minute
}
