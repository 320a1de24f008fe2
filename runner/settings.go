package runner

import (
	"time"

	"filberthaven.example/loader"
	"filberthaven.example/planner"
	"filberthaven.example/platform"
	"filberthaven.example/spooler"
	"github.com/samber/oops"
)

// Settings are the settings of one entry VM.
type Settings struct {
	id, centre string
	callers    string        // address for callers
	ready      string        // address for the load balancer's readiness check
	internal   string        // address for other entry VMs
	metrics    string        // address of the metrics page, empty for none
	processor  float64       // share of a core that the VM may use, 0 if not configured
	store      string        // address of the platform's store
	advice     string        // address of the advice service, empty for none
	lease      time.Duration // longest lease that workers grant
	drain      time.Duration // how long a stopping VM serves on
	level      string        // lowest level that is logged
	json       bool          // log lines are JSON objects
	bootstrap  bool          // the whole system starts for the first time
	memory     int64         // bytes that the process may use, 0 if not configured
	files      int           // descriptors that the process may open, 0 if not configured
	spread     bool          // concurrent advice requests name different workers
	speeds     bool          // tasks are placed by how fast workers have been
	backfill   bool          // gangs keep bounded reservations, which other work may use meanwhile
	preempt    bool          // urgent steps that fit on no worker stop runs of other queues
	copies     bool          // tasks of speculative steps that take long get a second run
	rate       int           // lines with the same message logged per second, 0 for no limit
	runTimes   bool          // run times are learned for each queue, team and step
	limits     Limits
}

// ID returns the id of the VM.
func (s *Settings) ID() string { return s.id }

// Level returns the lowest level that is logged.
func (s *Settings) Level() string { return s.level }

// JSON reports whether log lines are JSON objects.
func (s *Settings) JSON() bool { return s.json }

// Memory returns how many bytes the process may use, 0 if not configured.
func (s *Settings) Memory() int64 { return s.memory }

// Rate returns how many lines with the same message are logged per second, 0 for no
// limit.
func (s *Settings) Rate() int { return s.rate }

// planning returns the options of the planner.
func (s *Settings) planning() []planner.Option {
	var options []planner.Option
	if s.runTimes {
		options = append(options, planner.WithLearnedRunTimes())
	}
	if s.speeds {
		options = append(options, planner.WithLearnedSpeeds(true))
	}
	if s.backfill {
		options = append(options, planner.WithBackfill(true))
	}
	if s.spread {
		options = append(options, planner.WithSpreadRequests(true))
	}
	if s.preempt {
		options = append(options, planner.WithPreemption(true))
	}
	if s.copies {
		options = append(options, planner.WithCopies(true))
	}
	return options
}

// descriptorReserve is the number of descriptors kept for connections in use: a call
// that waits at each of 1,100 workers, orders, callers and peers.
const descriptorReserve = 2400

// idleConnections returns how many unused connections to workers the VM keeps.
func (s *Settings) idleConnections() int {
	if s.files == 0 {
		return platform.DefaultIdle
	}
	return max(s.files-descriptorReserve, s.files/4)
}

const (
	// defaultDrain is how long a stopping VM keeps serving callers until the load
	// balancer has noticed: two readiness checks, 1 s apart, with time to spare.
	defaultDrain = 2600 * time.Millisecond
	// defaultLease is the longest lease that workers grant.
	defaultLease = 6 * time.Second
)

// LoadSettings reads the settings from an INI file. If several are invalid, the error
// lists them all.
func LoadSettings(path string) (*Settings, error) {
	file, err := loader.ReadFile(path)
	if err != nil {
		return nil, oops.In("runner").Wrapf(err, "settings can't be read")
	}
	d := loader.NewDecoder(file)
	s := &Settings{}
	vm := d.Section("vm")
	s.id = loader.Require(vm, "id", loader.Word)
	s.centre = loader.Require(vm, "centre", loader.Word)
	s.callers = loader.Require(vm, "callers", loader.Address)
	s.ready = loader.Require(vm, "ready", loader.Address)
	s.internal = loader.Require(vm, "internal", loader.Address)
	s.metrics = loader.Get(vm, "metrics", loader.Address, "")
	s.processor = loader.Get(vm, "processor", loader.Float, 0, loader.Between(0.0, 1024.0))
	s.memory = loader.Get(vm, "memory", loader.Size, 0)
	s.files = loader.Get(vm, "files", loader.Int, 0, loader.Between(0, 1<<20))
	s.bootstrap = loader.Get(vm, "bootstrap", loader.Bool, false)
	s.drain = loader.Get(vm, "drain", loader.Duration, defaultDrain, loader.Between(0, time.Hour))
	platform := d.Section("platform")
	s.store = loader.Require(platform, "store", loader.Address)
	s.advice = loader.Get(platform, "advice", loader.Address, "")
	s.lease = loader.Get(platform, "lease", loader.Duration, defaultLease, loader.Between(time.Second, time.Minute))
	planning := d.Section("planning")
	s.speeds = loader.Get(planning, "speeds", loader.Bool, false)
	s.spread = loader.Get(planning, "spread", loader.Bool, false)
	s.runTimes = loader.Get(planning, "runtimes", loader.Bool, false)
	s.backfill = loader.Get(planning, "backfill", loader.Bool, false)
	log := d.Section("log")
	s.level = loader.Get(log, "level", loader.OneOf("trace", "debug", "info", "warn", "error"), "info")
	s.json = loader.Get(log, "format", loader.OneOf("text", "json"), "text") == "json"
	s.rate = loader.Get(log, "rate", loader.Int, spooler.DefaultRate, loader.Between(0, 1_000_000))
	s.preempt = loader.Get(planning, "preempt", loader.Bool, false)
	s.copies = loader.Get(planning, "copies", loader.Bool, false)
	s.limits.decode(d.Section("limits"), defaultLimits(s.memory, s.files))
	if err := d.Err(); err != nil {
		return nil, err
	}
	return s, nil
}
