package main

import (
	"fmt"
	"slices"
	"time"
)

// executorOf returns the executor with that id.
func executorOf(all []*executor, id string) *executor {
	i := slices.IndexFunc(all, func(e *executor) bool { return e.id == id })
	return all[i]
}

// flappingExecutor (case 12): all executors but one are full of sound work. That one goes down
// and up by turns. A job that fits only there must not be shown as failed: none of its runs
// has ended failed.
func flappingExecutor(c *cluster, trouble bool) (bool, error) {
	const (
		executors = 16                     // one of them flaps: a share of 0.0625
		gap       = 830 * time.Millisecond // from one step of the flapping to the next
		lasts     = 7 * time.Second        // the flapping
	)
	all, err := begin(c, executors)
	if err != nil {
		return false, err
	}
	full, err := c.submit("a season plan that fills all executors but one", job{"work-ms=60000", []step{{Tasks: executors - 1, CPU: 16000, Memory: 1024, Estimate: 60000, MaxPerHost: 1}}})
	if err != nil {
		return false, err
	}
	if err := c.awaitRunning(full, executors-1, 5*time.Second); err != nil {
		return false, err
	}
	busy := map[string]bool{}
	for _, s := range c.fleet.running(full) {
		busy[s.executor] = true
	}
	flapper := all[slices.IndexFunc(all, func(e *executor) bool { return !busy[e.id] })]
	victim, err := c.submit("a booking of one task", job{"work-ms=4000", []step{{Tasks: 1, CPU: 4000, Memory: 1024, Estimate: 4000}}})
	if err != nil {
		return false, err
	}
	if err := c.awaitRunning(victim, 1, 5*time.Second); err != nil {
		return false, err
	}
	if trouble {
		c.record.say("executor %s begins to go down and up", flapper.id)
		for began, down := time.Now(), true; time.Since(began) < lasts; down = !down {
			if down {
				flapper.crash()
			} else {
				flapper.begin()
			}
			time.Sleep(gap)
		}
		if !flapper.up {
			flapper.begin()
		}
		c.record.say("executor %s stays up", flapper.id)
	}
	state := ""
	for deadline := time.Now().Add(25 * time.Second); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		if state = c.state(victim); state == "completed" || state == "failed" {
			break
		}
	}
	ends := map[string]int{}
	for _, s := range c.fleet.runsOf(victim) {
		ends[s.how]++
	}
	c.record.say("the booking is shown as %q; its runs by their ends: %v", state, ends)
	switch {
	case state == "failed" && ends["failed"] == 0:
		return true, nil
	case state == "completed":
		return false, nil
	}
	return false, fmt.Errorf("the booking is neither shown as completed nor as failed")
}

// suspectBesideServices (case 14): a service fills one executor, and short work keeps all others
// less than half busy. An executor is lost right after a second service has started there. That
// service has to run again elsewhere, as there is room for it many times over.
func suspectBesideServices(c *cluster, trouble bool) (bool, error) {
	const (
		executors = 8 // one is lost: a share of 0.125
		work      = 10 * time.Second
		watched   = 45 * time.Second // after the loss
		settled   = 10 * time.Second // after the loss: 6 s from its last run, and 4 s without a disruption
		size      = 4000
	)
	all, err := begin(c, executors)
	if err != nil {
		return false, err
	}
	large, err := c.submit("a service that fills an executor", job{"serve", []step{{Tasks: 1, CPU: 15000, Memory: 1024, LongRunning: true}}})
	if err != nil {
		return false, err
	}
	if err := c.awaitRunning(large, 1, 5*time.Second); err != nil {
		return false, err
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	defer func() {
		close(stop)
		<-stopped
	}()
	go func() {
		defer close(stopped)
		for {
			up := 0
			for _, e := range all {
				if e.isUp() {
					up++
				}
			}
			_, _ = c.submit("a tariff recalculation, one task on each executor", job{
				fmt.Sprintf("work-ms=%d", work.Milliseconds()),
				[]step{{Tasks: up - 1, CPU: 2000, Memory: 1024, Estimate: int(work.Milliseconds()), MaxPerHost: 1}},
			})
			select {
			case <-stop:
				return
			case <-time.After(work / 2):
			}
		}
	}()
	time.Sleep(work/2 + 2*time.Second)
	victim, err := c.submit("a service of one task", job{"serve", []step{{Tasks: 1, CPU: size, Memory: 1024, LongRunning: true}}})
	if err != nil {
		return false, err
	}
	if err := c.awaitRunning(victim, 1, 5*time.Second); err != nil {
		return false, err
	}
	time.Sleep(200 * time.Millisecond)
	lostAt := time.Now()
	if trouble {
		lost := executorOf(all, c.fleet.running(victim)[0].executor)
		lost.crash()
		c.record.say("executor %s is lost for good", lost.id)
	}
	var longest, away time.Duration
	leastFree := 0
	last := time.Now()
	for time.Since(lostAt) < watched {
		time.Sleep(100 * time.Millisecond)
		now := time.Now()
		free := 0 // executors that would take the task twice
		for _, e := range all {
			if e.isUp() && e.free() >= 2*size {
				free++
			}
		}
		if len(c.fleet.running(victim)) > 0 || free == 0 || now.Sub(lostAt) < settled {
			away = 0
		} else {
			away += now.Sub(last)
			if leastFree == 0 || free < leastFree {
				leastFree = free
			}
		}
		longest, last = max(longest, away), now
	}
	c.record.say("longest time that the service did not run, from %v after the loss: %.1f s; meanwhile at least %d executors had room for it twice over", settled, longest.Seconds(), leastFree)
	c.record.say("the service is shown as %q", c.state(victim))
	return longest >= 3*time.Second, nil
}

// waitingService (case 13): a service fills less than half of each executor. A job comes that can
// never be done, a second service whose tasks fit on none beside the first. The booking of
// another tenant that comes afterwards has to run, as there is room for it many times over.
func waitingService(c *cluster, trouble bool) (bool, error) {
	const (
		executors = 8
		finish    = 14 * time.Second // finish_s
		size      = 1000
	)
	all, err := begin(c, executors)
	if err != nil {
		return false, err
	}
	first, err := c.submit("a service, one task on each executor", job{"serve", []step{{Tasks: executors, CPU: 7000, Memory: 1024, MaxPerHost: 1, LongRunning: true}}})
	if err != nil {
		return false, err
	}
	if err := c.awaitRunning(first, executors, 5*time.Second); err != nil {
		return false, err
	}
	if err := c.submitBookings(); err != nil {
		return false, err
	}
	if trouble {
		if _, err := c.submit("a service that fits on no executor beside the first", job{"serve", []step{{Tasks: executors, CPU: 10000, Memory: 1024, MaxPerHost: 1, LongRunning: true}}}); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
	}
	booking, err := c.submitAs(other, "a booking of one task by another tenant", job{"work-ms=500", []step{{Tasks: 1, CPU: size, Memory: 1024, Estimate: 500}}})
	if err != nil {
		return false, err
	}
	last := time.Now() // the traffic ends
	time.Sleep(finish)
	state, free := c.stateAs(other, booking), executors
	for range 30 {
		time.Sleep(100 * time.Millisecond)
		room := 0
		for _, e := range all {
			if e.free() >= 2*size {
				room++
			}
		}
		free = min(free, room)
	}
	runs := c.fleet.runsOf(booking)
	c.record.say("%.0f s after the end of the traffic: the booking is shown as %q, and 3 s later as %q; it has had %d runs; %d executors had room for it twice over",
		time.Since(last).Seconds(), state, c.stateAs(other, booking), len(runs), free)
	return len(runs) == 0 && free > 0, nil
}

// failingService (case 15): the tasks of a service end failed at once, each time that they are
// started. A gang that comes afterwards has to run, as there is room for it many times over.
func failingService(c *cluster, trouble bool) (bool, error) {
	const (
		executors = 16
		finish    = 14 * time.Second // finish_s
		members   = 8
		size      = 10000
	)
	all, err := begin(c, executors)
	if err != nil {
		return false, err
	}
	if err := c.submitBookings(); err != nil {
		return false, err
	}
	if trouble {
		if _, err := c.submit("a service whose tasks fail at once", job{"fail-ms=20", []step{{Tasks: executors, CPU: 100, Memory: 256, LongRunning: true}}}); err != nil {
			return false, err
		}
		time.Sleep(5 * time.Second)
	}
	gang, err := c.submitAs(other, "a gang of another tenant", job{"work-ms=1000", []step{{Tasks: members, CPU: size, Memory: 1024, Estimate: 1000, Gang: true}}})
	if err != nil {
		return false, err
	}
	last := time.Now() // the traffic ends
	time.Sleep(finish)
	state, free := c.stateAs(other, gang), executors
	for range 30 {
		time.Sleep(100 * time.Millisecond)
		room := 0
		for _, e := range all {
			if e.free() >= size {
				room++
			}
		}
		free = min(free, room)
	}
	runs := c.fleet.runsOf(gang)
	c.record.say("%.0f s after the end of the traffic: the gang is shown as %q, and 3 s later as %q; it has had %d runs; %d executors had room for a member",
		time.Since(last).Seconds(), state, c.stateAs(other, gang), len(runs), free)
	return len(runs) == 0 && free >= 2*members, nil
}

// unansweredOrder (extra): one order to start a task gets no answer and is carried out late. The
// task has to run again in time, on this executor or on another.
func unansweredOrder(c *cluster, trouble bool) (bool, error) {
	const (
		executors = 8
		jobs      = 20 // of which one order is hit: a share of 0.05
		first     = 3 * time.Second
		finish    = 14 * time.Second // finish_s
		late      = 3 * time.Second
	)
	all, err := begin(c, executors)
	if err != nil {
		return false, err
	}
	var ids []string
	for range jobs {
		id, err := c.submit("a plan of two steps", job{fmt.Sprintf("work-ms=%d", first.Milliseconds()), []step{
			{Tasks: 1, CPU: 1000, Memory: 256, Estimate: int(first.Milliseconds())},
			{Tasks: 1, CPU: 1000, Memory: 256, Estimate: int(first.Milliseconds()), After: []int{0}},
		}})
		if err != nil {
			return false, err
		}
		ids = append(ids, id)
	}
	last := time.Now() // the traffic ends
	victim := ids[jobs-1]
	if trouble {
		for _, e := range all {
			e.delay(victim+".0.1.0", late)
		}
	}
	time.Sleep(finish - time.Since(last))
	longest, away := time.Duration(0), time.Duration(0)
	for at := time.Now(); time.Since(last) < finish+3500*time.Millisecond; {
		time.Sleep(50 * time.Millisecond)
		if len(c.fleet.running(victim)) > 0 || c.fleet.hasEnded(victim+".0.1.0") {
			away = 0
		} else {
			away += time.Since(at)
		}
		at = time.Now()
		longest = max(longest, away)
	}
	c.record.say("from %.0f s after the end of the traffic, nothing of the job ran for %.1f s, with its second step not done; it is shown as %q", finish.Seconds(), longest.Seconds(), c.state(victim))
	return longest >= 3*time.Second, nil
}

// lateHeartbeat (case 11): one heartbeat gets no answer and is carried out late, after its executor
// has crashed and started again under its id. The new life must not forget ends that nobody
// has read: their tasks would start again, although they are done.
func lateHeartbeat(c *cluster, trouble bool) (bool, error) {
	const (
		executors = 8 // one of them crashes: a share of 0.125
		period    = time.Second
		bookings  = 12                     // in a period
		quiet     = 900 * time.Millisecond // from the start of a period until its work has ended
		late      = 3 * period
		down      = 60 * time.Millisecond
		lastSeen  = 180 // ends that the late heartbeat lets its executor forget
		label     = "b" // only one executor has it
	)
	all, err := begin(c, executors)
	if err != nil {
		return false, err
	}
	hit := all[0]
	if trouble {
		hit.delayHeartbeat(lastSeen, late)
	}
	began, left := time.Now(), 14 // periods
	for n := 0; left > 0; n++ {
		time.Sleep(period*time.Duration(n) - time.Since(began))
		for i := range bookings {
			work := 250 + 30*i
			if _, err := c.submit("a booking", job{fmt.Sprintf("work-ms=%d", work), []step{{Tasks: 4, CPU: 250, Memory: 64, Estimate: work, Label: label}}}); err != nil {
				return false, err
			}
		}
		time.Sleep(period*time.Duration(n) + quiet - time.Since(began))
		if left--; hit.hasDelayed() && hit.lives() == 1 {
			hit.crash()
			time.Sleep(down)
			hit.begin()
			left = 5
		}
	}
	if trouble && hit.lives() == 1 {
		return false, fmt.Errorf("no heartbeat with a last-seen of %d came", lastSeen)
	}
	time.Sleep(4 * time.Second)
	again := c.fleet.startedAfterDone()
	for _, line := range again {
		c.record.say("%s", line)
	}
	c.record.say("%d runs, %d of them started after a run of their task had ended done and its end was taken note of", len(c.fleet.runsOf("")), len(again))
	return len(again) > 0, nil
}
