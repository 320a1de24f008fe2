package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	quotaCap  = 10_000 // cap of the tenant, in thousandths of a core
	quotaOver = 0.1    // the bound quota-over
	taskCPU   = 1_000
)

// forgottenRuns plays QUOTA: an executor is cut off, a job that runs there is cancelled, and
// the process that owns the fleet is stopped and started again as planned work. With cut unset,
// no executor is cut off.
func forgottenRuns(r *record, trouble bool) error {
	const (
		first, second = "00000000000000b1", "00000000000000b2"
		cutTime       = 5500 * time.Millisecond
	)
	c, err := newCluster(r, 3, newConfig(3, quotaCap))
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return err
	}
	for i := range 8 {
		if _, err := c.newExecutor(fmt.Sprintf("i-%04d", i), 16000, func(string) time.Duration { return 15 * time.Second }); err != nil {
			return err
		}
	}
	if !waitFor(10*time.Second, func() bool { return c.owner() != nil }) {
		return errors.New("no owner")
	}
	time.Sleep(time.Second)
	job := newJob(quotaCap/taskCPU, taskCPU, 15*time.Second)
	if err := c.submit(c.vms[0], first, job); err != nil {
		return err
	}
	var at *executor
	if !waitFor(10*time.Second, func() bool {
		for _, e := range c.executors {
			if e.runsTask(first) {
				at = e
			}
		}
		return at != nil && len(r.all()) == quotaCap/taskCPU
	}) {
		return errors.New("the tasks do not start")
	}
	time.Sleep(time.Second)
	if err := c.submit(c.vms[0], second, job); err != nil {
		return err
	}
	time.Sleep(time.Second)
	owner := c.owner()
	if owner == nil {
		return errors.New("no owner")
	}
	caller := c.other(owner)
	var cut atomic.Bool
	if trouble {
		cut.Store(true)
		r.note("the executors that run %s are cut off", first)
		for _, e := range c.executors {
			if e.runsTask(first) {
				e.setTrouble(func(string, []byte) fate { return fate{lost: cut.Load()} })
			}
		}
		time.AfterFunc(cutTime, func() { cut.Store(false); r.note("the cut has healed") })
		time.Sleep(time.Second)
	}
	if status, _ := c.request(caller, http.MethodDelete, first, nil); status/100 != 2 {
		return errors.New("the cancel is not acknowledged")
	}
	if trouble {
		c.signal(owner, syscall.SIGTERM)
		go func() {
			<-owner.ended
			_ = c.launch(owner, false)
		}()
	}
	time.Sleep(12 * time.Second)
	c.request(caller, "GET", second, nil)
	if most, text := mostRunning(r.all(), taskCPU); float64(most) > quotaCap*(1+quotaOver)+taskCPU {
		return fmt.Errorf("%w: QUOTA, %d of cap %d: %s", errBroken, most, quotaCap, text)
	}
	return nil
}

// mostRunning returns the most that ran at a start, if each run takes size.
func mostRunning(runs []interval, size int) (int, string) {
	most, text := 0, ""
	for _, started := range runs {
		sum := 0
		for _, other := range runs {
			if other.from <= started.from && started.from < other.to {
				sum += size
			}
		}
		if sum > most {
			most, text = sum, fmt.Sprintf("start of %s run %d on %s at %.3f s", started.task, started.run, started.executor, started.from.Seconds())
		}
	}
	return most, text
}
