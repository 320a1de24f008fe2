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

// Parameters of the emulated workers.
const (
	minRunTime = 100 * time.Millisecond // of a task on a worker
	rackSize   = 8                      // workers in a rack
)

// startWorkersAndExecutors starts the workers and executors of all data centres.
func (f *Fleet) startWorkersAndExecutors(context.Context) error {
	m, err := messenger.New()
	if err != nil {
		return err
	}
	for _, centre := range f.spec.centres {
		for i := range f.spec.workers {
			if err := f.startWorker(m, centre, i); err != nil {
				return err
			}
		}
		for i := range f.spec.executors {
			if err := f.startExecutor(centre, i); err != nil {
				return err
			}
		}
	}
	return nil
}

// workerServer is an emulated worker with the HTTP server that serves it.
type workerServer struct {
	worker *emulator.Worker
	server *http.Server
	centre string
}

// KillWorkers kills all workers of a data centre, with the tasks that they run.
func (f *Fleet) KillWorkers(centre string) {
	for _, w := range f.workers {
		if w.centre == centre {
			_ = w.server.Close()
			w.worker.Kill()
		}
	}
}

// startWorker starts the worker with index i and adds it to the platform's list.
func (f *Fleet) startWorker(m *messenger.Messenger, centre string, i int) error {
	id := fmt.Sprintf("%s-worker-%d", centre, i+1)
	worker := emulator.NewWorker(id, placer.NewResources(f.spec.cpu, f.spec.memory, 0),
		emulator.WithDataCentre(centre), emulator.WithInvariantChecker(f.checker), emulator.WithRunTime(f.runTimeFunc(centre)))
	mux := http.NewServeMux()
	dispatcher.Handle(m, mux, worker.Guard())
	address, err := f.serve(newServer(mux))
	if err != nil {
		return err
	}
	f.workers = append(f.workers, workerServer{worker: worker, server: f.servers[len(f.servers)-1], centre: centre})
	f.platform.SetVM(emulator.VM{
		ID: id, Role: "worker", Address: address, Centre: centre, Rack: fmt.Sprintf("%s-rack-%d", centre, i/rackSize+1),
		CPU: f.spec.cpu, Memory: f.spec.memory, State: "live", Incarnation: 1,
	})
	return nil
}

// runTimeFunc returns the function that gives the run time and outcome of the tasks in a
// data centre. A task runs for its estimate, but at least minRunTime, and ends as done.
// The function also counts the starts.
func (f *Fleet) runTimeFunc(centre string) func(dispatcher.Attempt, dispatcher.TaskSpec) (time.Duration, dispatcher.Outcome) {
	starts := f.starts[centre]
	return func(_ dispatcher.Attempt, spec dispatcher.TaskSpec) (time.Duration, dispatcher.Outcome) {
		starts.Add(1)
		return max(spec.Estimate(), minRunTime), dispatcher.Done
	}
}

// startExecutor starts the executor with index i and adds it to the platform's list.
func (f *Fleet) startExecutor(centre string, i int) error {
	id := fmt.Sprintf("%s-executor-%d", centre, i+1)
	executor := emulator.NewExecutor()
	address, err := f.serve(executor.Server())
	if err != nil {
		return err
	}
	f.executors = append(f.executors, executor)
	f.platform.SetVM(emulator.VM{
		ID: id, Role: "endpoint", Address: address, Centre: centre, Service: f.spec.service,
		Slots: emulator.DefaultSlots, Connections: emulator.DefaultConnections, State: "live", Incarnation: 1,
	})
	return nil
}
