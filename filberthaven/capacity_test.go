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

// measure enables TestCapacity, which logs measurements and checks no target.
var measure = flag.Bool("measure", false, "measure whole processes at several sizes of the fleet")

const (
	// measureTime is how long each state of the fleet is measured.
	measureTime = 12 * time.Second
	// settleTime is how long the fleet settles before a measurement.
	settleTime = 3 * time.Second
	// tasksPerWorker is the mean that is expected in two years: 54,000 tasks on 2,400
	// workers.
	tasksPerWorker = 22
	// clockTicks is the number of clock ticks per second, the unit of CPU times in /proc.
	clockTicks = 100
)

// usage is what one process has used so far.
type usage struct {
	cpu      time.Duration // user and system time
	resident int64         // bytes of memory
	traffic  int64         // bytes read and written, other than to the log
}

// TestCapacity measures the usage of nine entry VMs at several sizes of the fleet: idle, with
// running tasks, and with jobs that arrive at a constant rate.
func TestCapacity(t *testing.T) {
	if !*measure {
		t.Skip("measures only with -measure")
	}
	for _, workers := range []int{4, 40, 100} {
		t.Run(fmt.Sprintf("%d workers", workers*len(centres)), func(t *testing.T) {
			p := newProcesses(t, false, launcher.WithSize(0, workers, launcher.DefaultExecutors))
			p.awaitOwners()
			p.logUsage("at rest")
			p.startLongTasks(workers * tasksPerWorker)
			p.logUsage(fmt.Sprintf("%d tasks running", workers*tasksPerWorker*len(centres)))
			p.logUsageUnderLoad(60, 1)
			p.logUsageUnderLoad(4, 60)
		})
	}
}

// startLongTasks starts n long tasks in each data centre.
func (p *processes) startLongTasks(n int) {
	for i, centre := range centres {
		body := fmt.Sprintf(`{"name":"fill","tasks":%d,"cpu":0.001,"memory":2900,"class":"deferred","estimate":"1h"}`, n)
		response, err := p.call(context.Background(), p.entries[i], http.MethodPost, "/v1/jobs", p.fleet.Keys().Team(), "", body)
		p.c.Assert(err, qt.IsNil)
		p.c.Assert(response.status < http.StatusMultipleChoices, qt.IsTrue, qt.Commentf("%s: %s", centre, response.body))
	}
	p.await("start of all tasks", func() bool { return p.fleet.InvariantChecker().Starts() >= n*len(centres) })
}

// logUsageUnderLoad logs the usage while rate jobs per second arrive, with the given number
// of tasks each.
func (p *processes) logUsageUnderLoad(rate, tasks int) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { p.submitSteadily(ctx, rate, tasks) })
	p.logUsage(fmt.Sprintf("and %d jobs a second of %d tasks", rate, tasks))
	cancel()
	group.Wait()
}

// submitSteadily submits rate jobs of short tasks per second, to all entry VMs in turn.
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

// logUsage measures for measureTime and logs the rates of task starts and of calls to the
// store, the mean usage of an entry VM that owns a shard, and that of one that owns none.
// The lines are headed by the state of the fleet.
func (p *processes) logUsage(state string) {
	time.Sleep(settleTime)
	owners := map[string]bool{}
	for _, shard := range p.shards() {
		owners[shard.Owner] = true
	}
	before, counts, starts := p.usages(), p.fleet.Store().Counts(), p.fleet.InvariantChecker().Starts()
	start := time.Now()
	time.Sleep(measureTime)
	after, calls := p.usages(), p.fleet.Store().Counts().Sub(counts)
	seconds := time.Since(start).Seconds()
	p.c.Logf("%s: %.1f starts/s; service %.1f writes/s, %.1f reads/s, %.1f watches/s", state,
		float64(p.fleet.InvariantChecker().Starts()-starts)/seconds,
		float64(calls.Writes())/seconds, float64(calls.Reads())/seconds, float64(calls.Watches())/seconds)
	for _, owner := range []bool{true, false} {
		var sum usage
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

// usages returns the usage of each process.
func (p *processes) usages() []usage {
	list := make([]usage, len(p.entries))
	for i, e := range p.entries {
		list[i] = p.usage(e.command.Process.Pid)
	}
	return list
}

// usage returns the usage of one process. The kernel counts the bytes of sockets and files
// together, so the size of the log, the only file, is subtracted.
func (p *processes) usage(pid int) usage {
	folder := fmt.Sprintf("/proc/%d/", pid)
	stat := p.fields(folder + "stat")
	memory := p.fields(folder + "statm")
	traffic := p.fields(folder + "io")
	log, err := os.Stat(folder + "fd/2")
	p.c.Assert(err, qt.IsNil)
	return usage{
		cpu:      time.Duration(p.number(stat[13])+p.number(stat[14])) * time.Second / clockTicks,
		resident: p.number(memory[1]) * int64(os.Getpagesize()),
		traffic:  p.number(traffic[1]) + p.number(traffic[3]) - log.Size(),
	}
}

// fields returns the space-separated fields of a file.
func (p *processes) fields(path string) []string {
	data, err := os.ReadFile(path)
	p.c.Assert(err, qt.IsNil)
	return strings.Fields(string(data))
}

// number parses a field as a decimal number.
func (p *processes) number(field string) int64 {
	n, err := strconv.ParseInt(field, 10, 64)
	p.c.Assert(err, qt.IsNil)
	return n
}
