package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lateStart plays TWICE: a start gets no answer, and the owner that sent it is killed. The next
// owner calls the executor, which does not have the run, and starts the task elsewhere. Then the
// executor crashes and comes back, and the start is carried out late.
func lateStart(r *record, trouble bool) error {
	const (
		before, job = "00000000000000e1", "00000000000000e2"
		large       = 32_000
		late        = 8 * time.Second // the platform takes 2 to 12 s
		down        = 600 * time.Millisecond
	)
	c, err := newCluster(r, 3, newConfig(3, 0))
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return err
	}
	duration := func(task string) time.Duration {
		if strings.HasPrefix(task, before) {
			return 200 * time.Millisecond
		}
		return 25 * time.Second
	}
	for i := range 8 {
		cores := 16_000
		if i == 0 {
			cores = large
		}
		if _, err := c.newExecutor(fmt.Sprintf("i-%04d", i), cores, duration); err != nil {
			return err
		}
	}
	first := c.executors[0]
	if !waitFor(10*time.Second, func() bool { return c.owner() != nil }) {
		return errors.New("no owner")
	}
	time.Sleep(2 * time.Second)
	owner := c.owner()
	caller := c.other(owner)
	// The large executor has the least room when the job comes, and the most afterwards.
	if err := c.submit(caller, before, labelled(newJob(1, 28_000, 200*time.Millisecond), first.rack)); err != nil {
		return err
	}
	if !waitFor(5*time.Second, func() bool { return first.runsTask(before) }) {
		return errors.New("the other task does not start")
	}
	ordered := make(chan time.Time, 1)
	if trouble {
		var once sync.Once
		first.setTrouble(func(path string, body []byte) (f fate) {
			var sent call
			_ = json.Unmarshal(body, &sent)
			if strings.HasPrefix(sent.Task, job) && strings.HasSuffix(path, "run-start") {
				once.Do(func() {
					f = fate{silent: true, after: late}
					ordered <- time.Now()
				})
			}
			return f
		})
	}
	if err := c.submit(caller, job, newJob(1, 2000, 25*time.Second)); err != nil {
		return err
	}
	if trouble {
		var at time.Time
		select {
		case at = <-ordered:
		case <-time.After(5 * time.Second):
			return errors.New("the job is not started on the first executor")
		}
		time.Sleep(700 * time.Millisecond) // the owner waits 0.8 s for the answer
		c.signal(owner, syscall.SIGKILL)
		time.AfterFunc(time.Second, func() { _ = c.launch(owner, false) })
		time.Sleep(time.Until(at.Add(late - down/2)))
		if first.runsTask(job) || len(r.all()) != 2 {
			return errors.New("the next owner does not start the job on another executor")
		}
		if err := first.replace(first.listener.Addr().String(), "a", large, down); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	if both, text := r.twice(); both > 0 {
		return fmt.Errorf("%w: TWICE, for %d ms: %s", errBroken, both.Milliseconds(), text)
	}
	return nil
}
