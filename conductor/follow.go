package conductor

import (
	"context"
	"time"

	"filberthaven.example/keeper"
	"filberthaven.example/planner"
	"filberthaven.example/platform"
)

const (
	// freshness is the greatest age of what is known of the operators' wishes and
	// the workers: a configuration has to be in force 2 s after it was
	// acknowledged, and nothing starts on a worker 2 s after it drains.
	freshness = 1700 * time.Millisecond
	// operatorPause is how long changes of the operators gather.
	operatorPause = 20 * time.Millisecond
	// workerPause is how long changes of the workers' entries gather: each worker
	// writes every second or two, and each answer of a watch is priced.
	workerPause = 200 * time.Millisecond
	// returnLimit is how late the owner may notice that the store is back; nothing
	// starts before.
	returnLimit = 250 * time.Millisecond
)

// follow keeps the planner told of the operators' configuration and of the
// workers' entries.
func (c *Conductor) follow(ctx context.Context) {
	operators := keeper.NewMirror(c.store, platform.OperatorPrefix, keeper.WithPollInterval(operatorPause), keeper.WithDisconnectTimeout(freshness), keeper.WithMaxBackoff(returnLimit), keeper.WithLogger(c.log))
	operators.Subscribe(platform.OperatorPrefix, c.operatorChange)
	workers := keeper.NewMirror(c.store, platform.ExecutorsPrefix, keeper.WithPollInterval(workerPause), keeper.WithDisconnectTimeout(freshness), keeper.WithMaxBackoff(returnLimit), keeper.WithLogger(c.log))
	workers.Subscribe(platform.ExecutorsPrefix, c.workerChange)
	c.mu.Lock()
	c.operators, c.workers = operators, workers
	c.mu.Unlock()
	c.spawn(func() { _ = operators.Run(ctx) }) // ends with the context only
	c.spawn(func() { _ = workers.Run(ctx) })
}

// operatorChange takes over a change of the configuration or of the data centres
// that are out of service.
func (c *Conductor) operatorChange(e keeper.Entry) {
	if centre, ok := platform.EvacuatedCentre(e.Key()); ok {
		c.mu.Lock()
		c.planner.SetCordoned(centre, !e.Deleted())
		c.mu.Unlock()
		c.log.Info("data centre changed", "centre", centre, "out", !e.Deleted())
		c.wake()
		return
	}
	if e.Key() != platform.ConfigKey || e.Deleted() {
		return
	}
	config, err := platform.DecodeConfig(e.Value())
	if err != nil {
		c.log.Error("configuration refused", "version", e.Version(), "error", err)
		return
	}
	c.mu.Lock()
	if c.planner.Configure(config, c.now()) {
		c.table = newTable(config)
		c.open = true
	}
	c.mu.Unlock()
	c.log.Info("configuration in force", "version", config.Version, "queues", len(config.Queues), "teams", len(config.Teams))
	c.wake()
}

// workerChange takes over a change of a worker's entry.
func (c *Conductor) workerChange(e keeper.Entry) {
	id := platform.ExecutorID(e.Key())
	if e.Deleted() {
		c.unlist(id, "entry gone")
		return
	}
	report, err := platform.DecodeExecutor(e.Key(), e.Value())
	if err != nil {
		c.log.Warn("entry of a worker ignored", "key", e.Key(), "error", err)
		c.unlist(id, "entry damaged")
		return
	}
	c.mu.Lock()
	l := c.links[id]
	news := l == nil || l.address != report.Address || l.born != report.Incarnation
	if l == nil {
		l = &link{id: id}
		c.links[id] = l
	}
	l.address = report.Address
	if report.Incarnation > l.born {
		l.born, l.clock, l.noted, l.told = report.Incarnation, 0, 0, 0
	}
	fresh, changed := c.planner.Register(report, c.now())
	if news {
		c.beginHold(l) // learns its clock, and what it runs
	}
	c.mu.Unlock()
	if !changed && !fresh {
		return
	}
	c.log.Info("worker listed", "worker", id, "centre", report.Centre, "draining", report.Draining, "born", report.Incarnation)
	if fresh {
		c.keep(planner.Record{Use: id}, func() {
			c.mu.Lock()
			c.planner.Use(id)
			c.mu.Unlock()
			c.wake()
		})
	}
	c.wake()
}

// fresh reports whether what is known of operators and workers is young enough to
// act on. It answers a watch that is silent: what is not known to be in force is
// not acted upon.
func (c *Conductor) fresh() bool {
	c.mu.Lock()
	operators, workers := c.operators, c.workers
	c.mu.Unlock()
	return operators != nil && operators.ConnectedFor() > 0 && workers.ConnectedFor() > 0
}

func (c *Conductor) unlist(id, reason string) {
	c.mu.Lock()
	c.planner.Deregister(id)
	c.mu.Unlock()
	c.log.Info("worker not listed any more", "worker", id, "reason", reason)
	c.wake()
}
