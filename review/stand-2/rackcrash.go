package main

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rackCrash plays TWICE: all executors of one rack crash and come back, while many small tasks
// run there and other jobs end elsewhere. Then the process that owns the fleet is killed.
func rackCrash(r *record, trouble bool) error {
	const (
		rackSize  = 8
		cores     = 32_000
		small     = 16 // thousandths of a core of a task on the rack that crashes
		perJob    = cores / small
		down      = time.Second
		killDelay = 700 * time.Millisecond // after the owner has called all of the rack again
		interval  = 10 * time.Millisecond  // between the short jobs
	)
	c, err := newCluster(r, 3, newConfig(3, 0))
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return err
	}
	duration := func(task string) time.Duration {
		if strings.HasPrefix(task, "5") {
			return 200 * time.Millisecond
		}
		return 100 * time.Second
	}
	for i := range 2 * rackSize {
		e, err := c.newExecutor(fmt.Sprintf("i-%04d", i), cores, duration)
		if err != nil {
			return err
		}
		e.mu.Lock()
		e.rack = fmt.Sprintf("r-%d", i/rackSize)
		e.publish()
		e.mu.Unlock()
	}
	rack := c.executors[:rackSize]
	if !waitFor(10*time.Second, func() bool { return c.owner() != nil }) {
		return errors.New("no owner")
	}
	time.Sleep(2 * time.Second)
	for i := range rackSize {
		if err := c.submit(c.vms[0], fmt.Sprintf("a%015d", i), labelled(newJob(perJob, small, 100*time.Second), "r-0")); err != nil {
			return err
		}
	}
	if !waitFor(40*time.Second, func() bool { return len(r.all()) >= rackSize*perJob }) {
		return fmt.Errorf("only %d tasks have started", len(r.all()))
	}
	r.note("%d tasks run on the rack", rackSize*perJob)
	time.Sleep(3 * time.Second)
	owner := c.owner()
	if owner == nil {
		return errors.New("no owner")
	}
	caller := c.other(owner)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		var jobs sync.WaitGroup
		for i := 0; ; i++ {
			select {
			case <-stop:
				jobs.Wait()
				return
			case <-time.After(interval):
			}
			jobs.Go(func() {
				_ = c.submit(caller, jobID(i), labelled(newJob(1, 500, 200*time.Millisecond), "r-1"))
			})
		}
	}()
	time.Sleep(time.Second)
	if trouble {
		r.note("the rack loses power")
		addresses := map[*executor]string{}
		for _, e := range rack {
			addresses[e] = e.listener.Addr().String()
			e.crash()
		}
		time.Sleep(down)
		r.note("the rack is up again")
		for _, e := range rack {
			if err := e.boot(addresses[e]); err != nil {
				return err
			}
		}
		if !waitFor(10*time.Second, func() bool { return !slices.ContainsFunc(rack, func(e *executor) bool { return !e.wasCalled() }) }) {
			return errors.New("the rack is not called")
		}
		r.note("the owner has called all executors of the rack")
	}
	time.Sleep(killDelay)
	if trouble {
		c.signal(owner, syscall.SIGKILL)
		time.AfterFunc(time.Second, func() { _ = c.launch(owner, false) })
	}
	close(stop)
	<-done
	time.Sleep(10 * time.Second)
	if starts, text := r.again(); starts > 0 {
		return fmt.Errorf("%w: TWICE, %d starts of tasks that had ended done: %s", errBroken, starts, text)
	}
	return nil
}

// jobID returns the id of a short job.
func jobID(i int) string { return fmt.Sprintf("5%015d", i) }

// labelled returns the job with a required label.
func labelled(job map[string]any, label string) map[string]any {
	for _, s := range job["steps"].([]any) {
		s.(map[string]any)["required-label"] = label
		s.(map[string]any)["mem-mb"] = 16
	}
	return job
}
