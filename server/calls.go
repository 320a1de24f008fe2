package server

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
)

// callsInterval is the time between two readings of the call counters. The rates are
// moving averages over one minute.
const callsInterval = 5 * time.Second

// callKinds are the kinds of calls to the key-value service whose rates are computed.
var callKinds = []string{"reads", "writes", "errors"}

// callRates computes the rates of calls to the key-value service from their counters.
type callRates struct {
	registry metrics.Registry
	rates    map[string]metrics.EWMA // by kind; fixed after newCallRates
}

func newCallRates(registry metrics.Registry) *callRates {
	c := &callRates{registry: registry, rates: map[string]metrics.EWMA{}}
	for _, kind := range callKinds {
		c.rates[kind] = metrics.NewEWMA1()
	}
	return c
}

// run updates the rates until ctx is done.
func (c *callRates) run(ctx context.Context) error {
	last := map[string]int64{}
	ticker := time.NewTicker(callsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for kind, rate := range c.rates {
			count := c.count(kind)
			rate.Update(count - last[kind])
			rate.Tick()
			last[kind] = count
		}
	}
}

// count returns the number of calls of a kind so far. A watch counts as a read.
func (c *callRates) count(kind string) int64 {
	count := metrics.GetOrRegisterCounter("store."+kind, c.registry).Count()
	if kind == "reads" {
		count += metrics.GetOrRegisterCounter("store.watches", c.registry).Count()
	}
	return count
}

// rate returns the calls of a kind per second, averaged over the last minute.
func (c *callRates) rate(kind string) float64 { return c.rates[kind].Rate() }
