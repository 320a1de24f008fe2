package main_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"filberthaven.example/launcher"
	qt "github.com/frankban/quicktest"
)

// measure turns on TestCapacity, which reports figures and gives no verdict.
var measure = flag.Bool("measure", false, "measure whole processes at several sizes of the fleet")

const (
	// measureTime is how long each state of the fleet is watched.
	measureTime = 12 * time.Second
	// restTime lets the fleet come to rest before that.
	restTime = 3 * time.Second
	// tasksPerWorker is the mean in two years: 54,000 tasks on 2,400 workers.
	tasksPerWorker = 22
	// clockTicks is the number of ticks a second in /proc.
	clockTicks = 100
)

// reading is what one process has used so far.
type reading struct {
	cpu      time.Duration
	resident int64 // bytes
	traffic  int64 // bytes read and written, without the log
}

// TestCapacity measures what nine entry VMs use at several sizes of the fleet: at
// rest, with tasks that run, and with jobs that come at a steady rate.
func TestCapacity(t *testing.T) {
	if !*measure {
		t.Skip("measures only with -measure")
	}
	for _, workers := range []int{4, 40, 100} {
		t.Run(fmt.Sprintf("%d workers", workers*len(centres)), func(t *testing.T) {
			p := newProcesses(t, false, launcher.WithSize(0, workers, launcher.DefaultExecutors))
			p.awaitOwners()
			p.report("at rest")
			p.fill(workers * tasksPerWorker)
			p.report(fmt.Sprintf("%d tasks running", workers*tasksPerWorker*len(centres)))
			p.reportLoad(60, 1)
			p.reportLoad(4, 60)
		})
	}
}

// fill has n long tasks run in each data centre.
func (p *processes) fill(n int) {
	for i, centre := range centres {
		body := fmt.Sprintf(`{"name":"fill","tasks":%d,"cpu":0.001,"memory":2900,"class":"deferred","estimate":"1h"}`, n)
		answer, err := p.call(context.Background(), p.entries[i], http.MethodPost, "/v1/jobs", p.fleet.Keys().Team(), "", body)
		p.c.Assert(err, qt.IsNil)
		p.c.Assert(answer.status < http.StatusMultipleChoices, qt.IsTrue, qt.Commentf("%s: %s", centre, answer.body))
	}
	p.await("start of all tasks", func() bool { return p.fleet.InvariantChecker().Starts() >= n*len(centres) })
}

// reportLoad reports on jobs that come at a rate a second, of that many tasks each.
func (p *processes) reportLoad(rate, tasks int) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { p.submitSteadily(ctx, rate, tasks) })
	p.report(fmt.Sprintf("and %d jobs a second of %d tasks", rate, tasks))
	cancel()
	group.Wait()
}

// submitSteadily submits jobs of short tasks to all entry VMs in turn.
func (p *processes) submitSteadily(ctx context.Context, rate, tasks int) {
	body := fmt.Sprintf(`{"name":"short","tasks":%d,"cpu":0.1,"memory":16,"class":"deferred","estimate":"200ms"}`, tasks)
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e := p.entries[n%len(p.entries)]
		go func() {
			_, _ = p.call(ctx, e, http.MethodPost, "/v1/jobs", p.fleet.Keys().Team(), "", body)
		}()
	}
}

// report logs what the processes use in a state of the fleet: the sum of all, and
// the mean of owners of shards and of the others.
func (p *processes) report(state string) {
	time.Sleep(restTime)
	owners := map[string]bool{}
	for _, shard := range p.shards() {
		owners[shard.Owner] = true
	}
	before, counts, starts := p.readings(), p.fleet.Store().Counts(), p.fleet.InvariantChecker().Starts()
	began := time.Now()
	time.Sleep(measureTime)
	after, used := p.readings(), p.fleet.Store().Counts().Sub(counts)
	seconds := time.Since(began).Seconds()
	p.c.Logf("%s: %.1f starts/s; service %.1f writes/s, %.1f reads/s, %.1f watches/s", state,
		float64(p.fleet.InvariantChecker().Starts()-starts)/seconds,
		float64(used.Writes())/seconds, float64(used.Reads())/seconds, float64(used.Watches())/seconds)
	for _, owner := range []bool{true, false} {
		var sum reading
		n := 0
		for i, e := range p.entries {
			if owners[e.id] != owner {
				continue
			}
			n++
			sum.cpu += after[i].cpu - before[i].cpu
			sum.resident += after[i].resident
			sum.traffic += after[i].traffic - before[i].traffic
		}
		if n > 0 {
			p.c.Logf("  %d entry VMs, owner %v: each %.2f%% of a core, %.1f MB resident, %.1f KB/s",
				n, owner, 100*sum.cpu.Seconds()/seconds/float64(n), float64(sum.resident)/1e6/float64(n), float64(sum.traffic)/1e3/seconds/float64(n))
		}
	}
}

// readings reads all processes.
func (p *processes) readings() []reading {
	list := make([]reading, len(p.entries))
	for i, e := range p.entries {
		list[i] = p.reading(e.command.Process.Pid)
	}
	return list
}

// reading reads one process. The kernel counts what goes through sockets with what
// goes through files, of which the log is the only one.
func (p *processes) reading(pid int) reading {
	folder := fmt.Sprintf("/proc/%d/", pid)
	stat := p.fields(folder + "stat")
	memory := p.fields(folder + "statm")
	traffic := p.fields(folder + "io")
	log, err := os.Stat(folder + "fd/2")
	p.c.Assert(err, qt.IsNil)
	return reading{
		cpu:      time.Duration(p.number(stat[13])+p.number(stat[14])) * time.Second / clockTicks,
		resident: p.number(memory[1]) * int64(os.Getpagesize()),
		traffic:  p.number(traffic[1]) + p.number(traffic[3]) - log.Size(),
	}
}

// fields returns the words of a file.
func (p *processes) fields(path string) []string {
	data, err := os.ReadFile(path)
	p.c.Assert(err, qt.IsNil)
	return strings.Fields(string(data))
}

// number returns the number that a word holds.
func (p *processes) number(word string) int64 {
	n, err := strconv.ParseInt(word, 10, 64)
	p.c.Assert(err, qt.IsNil)
	return n
}
