package server

import "time"

// Status is the status of the fleet as one entry VM knows it, for the API and the status
// page. Processors are counted in thousandths.
type Status struct {
	Time     time.Time      `json:"time"`     // when the entry VM made the status
	VM       string         `json:"vm"`       // id of the entry VM that made the status
	Centre   string         `json:"centre"`   // data centre of that VM
	Version  string         `json:"version"`  // of the program
	Revision uint64         `json:"revision"` // of the declarations in force on that VM
	Complete bool           `json:"complete"` // every entry VM responded and every shard was reported; if false, usage, tasks and requests in flight are counted only in part
	Fleet    FleetStatus    `json:"fleet"`
	Teams    []TeamStatus   `json:"teams"`   // sorted by name
	Centres  []CentreStatus `json:"centres"` // sorted by name
	Shards   []ShardStatus  `json:"shards"`  // sorted by data centre and number
	VMs      []VMStatus     `json:"vms"`     // entry VMs, sorted by id
	Platform PlatformStatus `json:"platform"`
}

// FleetStatus holds the totals of the fleet.
type FleetStatus struct {
	Workers    int   `json:"workers"`
	Executors  int   `json:"executors"`
	Processors int64 `json:"processors"` // offered by workers
	Used       int64 `json:"used"`       // processors allocated to tasks, whether they have begun or not
	Running    int   `json:"running"`    // tasks that their workers confirmed as running
	Pending    int   `json:"pending"`    // the other tasks, also those whose start is not confirmed
	Flight     int   `json:"flight"`     // urgent requests in flight
}

// TeamStatus is the usage of a team with its share and limits.
type TeamStatus struct {
	Name    string  `json:"name"`
	Share   float64 `json:"share"`   // weight
	Part    float64 `json:"part"`    // fraction of the fleet's processors that the team uses, 0 to 1
	Limit   int64   `json:"limit"`   // of processors; configurer.Unlimited or more: none
	Used    int64   `json:"used"`    // processors allocated to tasks, whether they have begun or not
	Slots   int64   `json:"slots"`   // largest number of urgent requests in flight; configurer.Unlimited or more: no limit
	Flight  int     `json:"flight"`  // urgent requests in flight
	Pending int     `json:"pending"` // tasks, counted as for the fleet
}

// CentreStatus is the status of a data centre.
type CentreStatus struct {
	Name    string `json:"name"`
	State   string `json:"state"` // in, out or lost
	Reason  string `json:"reason,omitempty"`
	Entries int    `json:"entries"` // entry VMs that are not gone
	Workers int    `json:"workers"`
	Running int    `json:"running"` // tasks, counted as for the fleet
	Pending int    `json:"pending"` // tasks, counted as for the fleet
}

// ShardStatus names the owner of a shard.
type ShardStatus struct {
	Name    string `json:"name"`
	Owner   string `json:"owner"`   // id of the entry VM, empty if none is known
	Address string `json:"address"` // of the owner, host:port
	Term    uint64 `json:"term"`
}

// VMStatus is the status of an entry VM as the VM that made the status sees it.
type VMStatus struct {
	ID       string `json:"id"`
	Centre   string `json:"centre"`
	Address  string `json:"address"`
	Revision uint64 `json:"revision"` // of the declarations in force on the entry VM
	Reached  bool   `json:"reached"`  // the entry VM is alive according to the heartbeats
}

// PlatformStatus holds the rates of the entry VM's calls to the key-value service.
type PlatformStatus struct {
	Contact bool    `json:"contact"` // the watch of the key-value service is connected
	Reads   float64 `json:"reads"`   // per second over the last minute
	Writes  float64 `json:"writes"`  // per second over the last minute
	Errors  float64 `json:"errors"`  // per second over the last minute
}
