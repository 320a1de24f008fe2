package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// otherKind plays LIMIT: an executor crashes and comes back at the same address, as an
// incarnation of another kind with fewer cores. It writes its entry before it answers a call.
func otherKind(r *record, trouble bool) error {
	const (
		large     = 32_000
		small     = 16_000
		task      = 20_000                 // thousandths of a core; fits only on a large executor
		firstDown = 600 * time.Millisecond // how long the first crash lasts, and step by how much longer each further one does
		step      = 30 * time.Millisecond
		restarts  = 12
	)
	c, err := newCluster(r, 3, newConfig(3, 0))
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return err
	}
	var changing *executor
	for i := range 8 {
		e, err := c.newExecutor(fmt.Sprintf("i-%04d", i), small, func(string) time.Duration { return 90 * time.Second })
		if err != nil {
			return err
		}
		changing = e
	}
	changing.mu.Lock()
	changing.capacity, changing.kind = map[string]int{"cpu": large, "mem-mb": 64000, "gpu": 0}, "b"
	changing.mu.Unlock()
	if !waitFor(10*time.Second, func() bool { return c.owner() != nil }) {
		return errors.New("no owner")
	}
	time.Sleep(4 * time.Second)
	changing.mu.Lock()
	address := changing.listener.Addr().String()
	changing.mu.Unlock()
	for i := range restarts {
		job := fmt.Sprintf("00000000000000c%x", i)
		if err := c.submit(c.vms[0], job, newJob(1, task, 90*time.Second)); err != nil {
			return err
		}
		if !waitFor(10*time.Second, func() bool { return changing.runsTask(job) }) {
			return errors.New("the task does not start")
		}
		time.Sleep(2 * time.Second)
		if !trouble {
			c.request(c.vms[0], http.MethodDelete, job, nil)
			continue
		}
		if err := changing.replace(address, "a", small, firstDown+time.Duration(i)*step); err != nil {
			return err
		}
		time.Sleep(1500 * time.Millisecond)
		if changing.runsTask(job) {
			return fmt.Errorf("%w: LIMIT, a task of %d runs on %s, an executor of %d", errBroken, task, changing.id, small)
		}
		c.request(c.vms[0], http.MethodDelete, job, nil)
		if err := changing.replace(address, "b", large, firstDown); err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
	return nil
}

// replace crashes an executor and, after a time, starts an incarnation of another kind.
func (e *executor) replace(address, kind string, cpu int, down time.Duration) error {
	e.cluster.record.note("%s crashes", e.id)
	e.crash()
	time.Sleep(down)
	e.mu.Lock()
	e.capacity, e.kind = map[string]int{"cpu": cpu, "mem-mb": 64000, "gpu": 0}, kind
	e.mu.Unlock()
	e.cluster.record.note("%s is up again, as kind %s with %d", e.id, kind, cpu)
	return e.boot(address)
}
