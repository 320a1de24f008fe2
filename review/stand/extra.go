package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// playRoute hands in a job, and then replaces its route by one with another name and the same
// host, prefix and service.
func playRoute(w *world, trouble bool) error {
	if err := w.begin(48, 0, 3, queue("slot-book", "/q/", 1, 3)); err != nil {
		return err
	}
	j := &job{id: w.newID(), prefix: "/q/", steps: []step{{Tasks: 4, CPU: 1000, Memory: 1000, Est: 8000}}, work: fixed(12 * time.Second)}
	if !w.submit(j) {
		return fmt.Errorf("%w: the job was not accepted", errCannotRun)
	}
	time.Sleep(time.Second)
	name := "slot-book"
	if trouble {
		name = "slot-book-2"
	}
	w.configure(5, queue(name, "/q/", 1, 3))
	time.Sleep(configTime + visibleTime)
	for range 3 {
		status, state := w.state(j)
		w.note("GET %s: %d %s, %d of its tasks run", j.id, status, state, w.running(j.id))
		if status == http.StatusGone {
			w.violation("LOST: the accepted job %s, of which %d tasks run, got the answer 410", j.id, w.running(j.id))
		}
		time.Sleep(time.Second)
	}
	w.judge(0)
	return nil
}

const (
	// configTime is how long a configuration takes until it is in force (config-ms), and
	// visibleTime how long a job may be unknown after it was accepted (visible_ms).
	configTime  = 2 * time.Second
	visibleTime = 3 * time.Second
)

// playAck hands in short jobs for the six executors of a kind, each of which crashes about once
// a second and is restarted within 20 ms.
func playAck(w *world, trouble bool) error {
	const special = 6
	if err := w.begin(48, special, 3, queue("q", "/q/", 0, 3)); err != nil {
		return err
	}
	const traffic = 40 * time.Second
	if trouble {
		for _, e := range w.executors[:special] {
			random := rand.New(rand.NewPCG(w.random.Uint64(), 1))
			go func() {
				for end := time.Now().Add(traffic); time.Now().Before(end); {
					time.Sleep(time.Duration(500+random.IntN(1000)) * time.Millisecond)
					e.crash(20 * time.Millisecond)
				}
			}()
		}
	}
	for end := time.Now().Add(traffic); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		j := &job{id: w.newID(), prefix: "/q/", steps: []step{{Tasks: 1, CPU: 4000, Memory: 4000, Est: 30, Label: "b"}}, work: fixed(30 * time.Millisecond)}
		go w.submit(j)
	}
	w.judge(0)
	return nil
}

// playBorn restarts the only executor of a kind twice within two seconds, and between the two
// the time of day of its machine jumps back. Then it hands in jobs for it.
func playBorn(w *world, trouble bool) error {
	if err := w.begin(48, 1, 3, queue("q", "/q/", 1, 3)); err != nil {
		return err
	}
	e := w.executors[0]
	e.crash(300 * time.Millisecond)
	time.Sleep(time.Second)
	if trouble {
		e.jump(-2400 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	e.crash(300 * time.Millisecond)
	time.Sleep(2 * time.Second)
	for range 5 {
		j := &job{id: w.newID(), prefix: "/q/", steps: []step{{Tasks: 2, CPU: 4000, Memory: 1000, Est: 300, Label: "b"}}, work: fixed(300 * time.Millisecond)}
		if !w.submit(j) {
			return fmt.Errorf("%w: a job was not accepted", errCannotRun)
		}
	}
	w.judge(0)
	return nil
}
