// Command stand plays one case of the review: it starts entry VMs as separate processes
// between stand-ins of the clients, the executors and the platform, and checks a rule.
//
//	stand CASE FOLDER BINARY
//
// It writes what happened to record.txt in FOLDER, and exits with 1 if the rule was broken,
// 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 in the environment it leaves
// the disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// startTime is how long after the machines the traffic starts.
const startTime = 10 * time.Second

// errCannotRun means that the case could not be played.
var errCannotRun = errors.New("the case couldn't run")

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER BINARY")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays a case and returns the exit status.
func play(name, folder, binary string) int {
	scenario, known := scenarios[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	w, err := newWorld(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w.binary = binary
	defer w.close()
	if err := scenario(w, os.Getenv("TROUBLE") != "0"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		w.note("not run: %v", err)
		return 2
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Printf("%d violations\n", len(w.broken))
	for _, text := range w.broken[:min(len(w.broken), 5)] {
		fmt.Println(text)
	}
	if len(w.broken) > 0 {
		return 1
	}
	return 0
}

// begin starts the machines and waits until the system serves.
func (w *world) begin(executors, special, vms int, queues ...map[string]any) error {
	w.configure(3, queues...)
	w.addExecutors(executors, special)
	if err := w.addVMs(vms); err != nil {
		return err
	}
	time.Sleep(startTime)
	path := queues[0]["prefix"].(string)
	if !waitUntil(10*time.Second, func() bool { status, _ := w.call(w.vms[0], "GET", path, nil); return status == 200 }) {
		return fmt.Errorf("%w: the system does not serve", errCannotRun)
	}
	w.note("traffic starts")
	return nil
}
