package launcher

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"filberthaven.example/dispatcher"
	"filberthaven.example/emulator"
	"filberthaven.example/messenger"
	"filberthaven.example/placer"
)

// Sizes of the stand-ins.
const (
	leastRunTime = 100 * time.Millisecond
	rackSize     = 8 // workers
)

// startEndpoints starts the workers and executors of all data centres.
func (f *Fleet) startEndpoints(context.Context) error {
	calls, err := messenger.New()
	if err != nil {
		return err
	}
	for _, centre := range f.plan.centres {
		for i := range f.plan.workers {
			if err := f.startWorker(calls, centre, i); err != nil {
				return err
			}
		}
		for i := range f.plan.executors {
			if err := f.startExecutor(centre, i); err != nil {
				return err
			}
		}
	}
	return nil
}

// standWorker is a stand-in of a worker with its listener.
type standWorker struct {
	worker *emulator.Worker
	server *http.Server
	centre string
}

// KillWorkers ends all workers of a data centre at once, with what they run.
func (f *Fleet) KillWorkers(centre string) {
	for _, each := range f.tasks {
		if each.centre == centre {
			_ = each.server.Close()
			each.worker.Kill()
		}
	}
}

// startWorker starts one worker and puts it into the platform's list.
func (f *Fleet) startWorker(calls *messenger.Messenger, centre string, i int) error {
	id := fmt.Sprintf("%s-worker-%d", centre, i+1)
	worker := emulator.NewWorker(id, placer.NewResources(f.plan.cpu, f.plan.memory, 0),
		emulator.WithDataCentre(centre), emulator.WithInvariantChecker(f.witness), emulator.WithRunTime(f.countStart(centre)))
	mux := http.NewServeMux()
	dispatcher.Handle(calls, mux, worker.Guard())
	address, err := f.serve(newServer(mux))
	if err != nil {
		return err
	}
	f.tasks = append(f.tasks, standWorker{worker: worker, server: f.servers[len(f.servers)-1], centre: centre})
	f.platform.SetVM(emulator.VM{
		ID: id, Role: "worker", Address: address, Centre: centre, Rack: fmt.Sprintf("%s-rack-%d", centre, i/rackSize+1),
		CPU: f.plan.cpu, Memory: f.plan.memory, State: "live", Incarnation: 1,
	})
	return nil
}

// countStart returns the run time of tasks in a data centre, which is the declared
// one, and counts their starts.
func (f *Fleet) countStart(centre string) func(dispatcher.Attempt, dispatcher.TaskSpec) (time.Duration, dispatcher.Outcome) {
	starts := f.starts[centre]
	return func(_ dispatcher.Attempt, launch dispatcher.TaskSpec) (time.Duration, dispatcher.Outcome) {
		starts.Add(1)
		return max(launch.Estimate(), leastRunTime), dispatcher.Done
	}
}

// startExecutor starts one executor and puts it into the platform's list.
func (f *Fleet) startExecutor(centre string, i int) error {
	id := fmt.Sprintf("%s-executor-%d", centre, i+1)
	executor := emulator.NewExecutor()
	address, err := f.serve(executor.Server())
	if err != nil {
		return err
	}
	f.stands = append(f.stands, executor)
	f.platform.SetVM(emulator.VM{
		ID: id, Role: "endpoint", Address: address, Centre: centre, Service: f.plan.service,
		Slots: emulator.DefaultSlots, Connections: emulator.DefaultConnections, State: "live", Incarnation: 1,
	})
	return nil
}
