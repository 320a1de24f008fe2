package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

// lateHold plays TWICE: an executor leaves one renewal of its lease unanswered and carries it
// out late, and is then cut off from the system's machines for cutTime.
func lateHold(r *record, trouble bool) error {
	const (
		job      = "00000000000000a1"
		late     = 3 * time.Second         // the platform takes 2 to 12 s
		cutDelay = 1300 * time.Millisecond // after the renewal
		cutTime  = 5500 * time.Millisecond
	)
	c, err := newCluster(r, 3, newConfig(3, 0))
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return err
	}
	for i := range 8 {
		if _, err := c.newExecutor(fmt.Sprintf("i-%04d", i), 16000, func(string) time.Duration { return 25 * time.Second }); err != nil {
			return err
		}
	}
	if !waitFor(10*time.Second, func() bool { return c.owner() != nil }) {
		return errors.New("no owner")
	}
	time.Sleep(time.Second)
	if err := c.submit(c.vms[0], job, newJob(1, 8000, 25*time.Second)); err != nil {
		return err
	}
	var at *executor
	if !waitFor(10*time.Second, func() bool {
		for _, e := range c.executors {
			if e.runsTask(job) {
				at = e
			}
		}
		return at != nil
	}) {
		return errors.New("the task does not start")
	}
	time.Sleep(5 * time.Second)
	if trouble {
		at.setTrouble(oneLateThenCut(r, late, cutDelay, cutTime))
	}
	time.Sleep(14 * time.Second)
	c.request(c.vms[0], "GET", job, nil)
	if both, text := r.twice(); both > 0 {
		return fmt.Errorf("%w: TWICE, for %d ms: %s", errBroken, both.Milliseconds(), text)
	}
	return nil
}

// oneLateThenCut leaves the next renewal without an answer, to be carried out late. A path
// between the executor and the system's machines that is cut from cutDelay after it for cutTime
// loses what is sent then.
func oneLateThenCut(r *record, late, cutDelay, cutTime time.Duration) func(string, []byte) fate {
	var mu sync.Mutex
	var first time.Time
	return func(path string, body []byte) fate {
		mu.Lock()
		defer mu.Unlock()
		var c call
		_ = json.Unmarshal(body, &c)
		switch since := time.Since(first); {
		case first.IsZero():
			if !strings.HasSuffix(path, "/hold") || c.Until == 0 {
				return fate{}
			}
			first = time.Now()
			return fate{silent: true, after: late}
		case since > cutDelay && since < cutDelay+cutTime:
			return fate{lost: true}
		default:
			return fate{}
		}
	}
}
