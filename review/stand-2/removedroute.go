package main

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// removedRoute plays LOST: a version of the configuration removes the route of a job that is at
// work, and the owner is killed.
func removedRoute(r *record, trouble bool) error {
	const (
		job     = "00000000000000f1"
		finish  = 14 * time.Second // finish_s
		without = 3 * time.Second  // how long a job may have nothing running
	)
	config := newConfig(3, 0)
	route := config["routes"].([]any)[0].(map[string]any)
	other := map[string]any{}
	for key, value := range route {
		other[key] = value
	}
	other["name"], other["prefix"] = "r-other", "/other/"
	config["routes"] = []any{route, other}
	c, err := newCluster(r, 3, config)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return err
	}
	for i := range 8 {
		if _, err := c.newExecutor(fmt.Sprintf("i-%04d", i), 16000, func(string) time.Duration { return 4 * time.Second }); err != nil {
			return err
		}
	}
	if !waitFor(10*time.Second, func() bool { return c.owner() != nil }) {
		return errors.New("no owner")
	}
	time.Sleep(2 * time.Second)
	body := newJob(1, 1000, 4*time.Second)
	second := map[string]any{"num-tasks": 1, "cpu": 1000, "mem-mb": 256, "est-ms": 4000, "after": []int{0}}
	body["steps"] = append(body["steps"].([]any), second)
	owner := c.owner()
	caller := c.other(owner)
	if err := c.submit(caller, job, body); err != nil {
		return err
	}
	if !waitFor(5*time.Second, func() bool { return len(r.all()) == 1 }) {
		return errors.New("the job does not start")
	}
	if trouble {
		config["version"], config["routes"] = 7, []any{other}
		c.store.put("op/config", config)
		r.note("version 7 without the route of the job")
		time.Sleep(2500 * time.Millisecond)
		c.signal(owner, syscall.SIGKILL)
		time.AfterFunc(time.Second, func() { _ = c.launch(owner, false) })
	}
	time.Sleep(4*time.Second + finish + without)
	c.request(caller, http.MethodGet, job, nil)
	for _, i := range r.all() {
		if i.task == job+".0.1.0" {
			return nil
		}
	}
	return fmt.Errorf("%w: LOST, the second step of an accepted job has not begun %v after its turn had come, on executors that run nothing", errBroken, finish+without)
}
