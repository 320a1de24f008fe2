package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// scenarios are the cases by their names.
var scenarios = map[string]func(w *world, trouble bool) error{
	"split":   playSplit,
	"idle":    playIdle,
	"crashes": playCrashes,
	"gang":    playGang,
	"late":    playLate,

	// These fail too, and are no cases of the review; see REPORT.md.
	"route": playRoute,
	"ack":   playAck,
	"born":  playBorn,
}

// playSplit hands in a job of many small tasks, which fit on one executor, and cuts that
// executor off for a few seconds, in which they end. Its lease does not lapse meanwhile.
func playSplit(w *world, trouble bool) error {
	const tasks = 700
	if err := w.begin(48, 0, 3, queue("q", "/q/", 2, 3)); err != nil {
		return err
	}
	j := &job{id: w.newID(), prefix: "/q/", steps: []step{{Tasks: tasks, CPU: 20, Memory: 50, Est: 4000}}}
	j.work = func(index int) time.Duration { return 4*time.Second + time.Duration(index%1000)*time.Millisecond }
	if !w.submit(j) {
		return fmt.Errorf("%w: the job was not accepted", errCannotRun)
	}
	if !waitUntil(3*time.Second, func() bool { return w.running(j.id) == tasks }) {
		return fmt.Errorf("%w: %d tasks run", errCannotRun, w.running(j.id))
	}
	var busiest *executor
	for _, e := range w.executors {
		if busiest == nil || e.free().CPU < busiest.free().CPU {
			busiest = e
		}
	}
	w.note("%s runs most", busiest.id)
	if trouble {
		time.Sleep(time.Until(j.accepted.Add(3300 * time.Millisecond)))
		busiest.setCut(true)
		time.Sleep(2500 * time.Millisecond)
		busiest.setCut(false)
	}
	w.judge(0)
	return nil
}

// restartTime is the time from the crash of a process to its restart by a supervisor.
const restartTime = 100 * time.Millisecond

// playIdle hands in a job for the only executor of a kind. The executor crashes and is
// restarted at once.
func playIdle(w *world, trouble bool) error {
	if err := w.begin(48, 1, 3, queue("q", "/q/", 1, 3)); err != nil {
		return err
	}
	j := &job{id: w.newID(), prefix: "/q/", steps: []step{{Tasks: 2, CPU: 4000, Memory: 1000, Est: 6000, Label: "b"}}, work: fixed(6 * time.Second)}
	if !w.submit(j) {
		return fmt.Errorf("%w: the job was not accepted", errCannotRun)
	}
	if !waitUntil(3*time.Second, func() bool { return w.running(j.id) == 2 }) {
		return fmt.Errorf("%w: the job does not run", errCannotRun)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		w.executors[0].crash(restartTime)
	}
	w.judge(0)
	return nil
}

// playCrashes hands in jobs for 30 s. In the first 20 s a few executors crash each second and
// are restarted.
func playCrashes(w *world, trouble bool) error {
	if err := w.begin(48, 0, 3, queue("q", "/q/", 1, 3)); err != nil {
		return err
	}
	const (
		traffic = 30 * time.Second
		crashes = 20 * time.Second
	)
	if trouble {
		random := rand.New(rand.NewPCG(w.random.Uint64(), 1))
		go func() {
			for end := time.Now().Add(crashes); time.Now().Before(end); time.Sleep(time.Second) {
				for _, i := range random.Perm(len(w.executors))[:6] {
					w.executors[i].crash(300 * time.Millisecond)
				}
			}
		}()
	}
	for end := time.Now().Add(traffic); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		j := &job{id: w.newID(), prefix: "/q/", steps: []step{{Tasks: 4, CPU: 1500, Memory: 4000, Est: 3000}}, work: fixed(3 * time.Second)}
		go w.submit(j)
	}
	w.judge(0)
	return nil
}

// playGang hands in a gang for the two executors of a kind, one of which crashes for good.
func playGang(w *world, trouble bool) error {
	if err := w.begin(48, 2, 3, queue("q", "/q/", 1, 3)); err != nil {
		return err
	}
	// Beside the tasks of the first job, two members of the gang fit on each of the two.
	first := &job{id: w.newID(), prefix: "/q/", steps: []step{{Tasks: 2, CPU: 10000, Memory: 1000, Est: 2000, Label: "b"}}, work: fixed(2 * time.Second)}
	if !w.submit(first) {
		return fmt.Errorf("%w: the job was not accepted", errCannotRun)
	}
	time.Sleep(300 * time.Millisecond)
	j := &job{id: w.newID(), prefix: "/q/", steps: []step{{Tasks: 3, CPU: 2500, Memory: 1000, Est: 6000, Label: "b", Gang: true}}, work: fixed(6 * time.Second)}
	if !w.submit(j) {
		return fmt.Errorf("%w: the job was not accepted", errCannotRun)
	}
	if !waitUntil(3*time.Second, func() bool { return w.running(j.id) == 3 }) {
		return fmt.Errorf("%w: the job does not run", errCannotRun)
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		w.executors[0].crash(0)
	}
	w.judge(0)
	return nil
}

// playLate hands in jobs, of which one order is held up on its way. Its executor then crashes
// and is restarted under its id.
func playLate(w *world, trouble bool) error {
	if err := w.begin(48, 0, 3, queue("q", "/q/", 1, 3)); err != nil {
		return err
	}
	for n := range 60 {
		j := &job{id: w.newID(), prefix: "/q/", steps: []step{{Tasks: 2, CPU: 2000, Memory: 1000, Est: 8000}}, work: fixed(8 * time.Second)}
		if trouble && n == 20 {
			w.mu.Lock()
			w.late = j
			w.mu.Unlock()
		}
		if !w.submit(j) {
			return fmt.Errorf("%w: a job was not accepted", errCannotRun)
		}
		time.Sleep(50 * time.Millisecond)
	}
	if trouble {
		if w.heldUp() == nil {
			return fmt.Errorf("%w: no order was held up", errCannotRun)
		}
		time.Sleep(1500 * time.Millisecond)
		w.heldUp().crash(restartTime)
	}
	time.Sleep(lateTime)
	w.judge(0)
	return nil
}

// heldUp returns the executor whose order was held up, nil before that.
func (w *world) heldUp() *executor {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lateOn
}
