package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// largeGang plays LOST: a client hands in a gang of many small tasks, which fits a quarter of
// the executors. Other jobs come before and after it.
func largeGang(r *record, trouble bool) error {
	const (
		gang     = "00000000000000d1"
		members  = 5_000
		small    = 25 // thousandths of a core of a member
		cores    = 32_000
		jobs     = 20 // before the gang, and after it
		interval = 200 * time.Millisecond
		finish   = 14 * time.Second // finish_s
		without  = 3 * time.Second  // how long a job may have nothing running
	)
	c, err := newCluster(r, 3, newConfig(3, 0))
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return err
	}
	for i := range 16 {
		if _, err := c.newExecutor(fmt.Sprintf("i-%08x", 0x7f3a91c2+i), cores, func(string) time.Duration { return 2 * time.Second }); err != nil {
			return err
		}
	}
	if !waitFor(10*time.Second, func() bool { return c.owner() != nil }) {
		return errors.New("no owner")
	}
	time.Sleep(time.Second)
	var ids []string
	submit := func() error {
		for range jobs {
			id := fmt.Sprintf("5%015d", len(ids))
			if err := c.submit(c.vms[0], id, newJob(1, 500, 2*time.Second)); err != nil {
				return err
			}
			ids = append(ids, id)
			time.Sleep(interval)
		}
		return nil
	}
	if err := submit(); err != nil {
		return err
	}
	if trouble {
		job := newJob(members, small, 2*time.Second)
		step := job["steps"].([]any)[0].(map[string]any)
		step["gang"], step["mem-mb"] = true, 16
		if err := c.submit(c.vms[0], gang, job); err != nil {
			return err
		}
		ids = append(ids, gang)
	}
	if err := submit(); err != nil {
		return err
	}
	r.note("the traffic ends")
	time.Sleep(finish + without)
	began := map[string]bool{}
	for _, i := range r.all() {
		began[i.task[:16]] = true
	}
	lost := 0
	for _, id := range ids {
		if !began[id] {
			lost++
			c.request(c.vms[0], http.MethodGet, id, nil)
		}
	}
	if lost > 0 {
		return fmt.Errorf("%w: LOST, %d of %d accepted jobs have not begun %v after the traffic, on executors that run nothing", errBroken, lost, len(ids), finish+without)
	}
	return nil
}
