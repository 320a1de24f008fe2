package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by number. They return whether the rule was broken.
var cases = map[int]func(c *cluster, trouble bool) (bool, error){
	11: lateHeartbeat, 12: flappingExecutor, 13: waitingService, 14: suspectBesideServices, 15: failingService,
	16: unansweredOrder, // beyond the five cases
}

func main() { os.Exit(play()) }

func play() int {
	number := flag.Int("case", 0, "number of the case")
	program := flag.String("program", "", "the project's program, as the deploy file builds it")
	path := flag.String("record", "", "file to write what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption comes")
	keep := flag.String("keep", "", "folder for the logs of the entry VMs")
	flag.Parse()
	run := cases[*number]
	if run == nil {
		fmt.Println("no such case")
		return failed
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Println(err)
		return failed
	}
	defer r.close()
	c, err := newCluster(*program, r)
	if err != nil {
		r.say("could not run: %v", err)
		return failed
	}
	defer c.close(*keep)
	time.AfterFunc(110*time.Second, func() {
		r.say("could not run: it took too long")
		r.close()
		c.close("")
		os.Exit(failed)
	})
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupts
		r.say("could not run: interrupted")
		r.close()
		c.close("")
		os.Exit(failed)
	}()
	wasBroken, err := run(c, *trouble)
	switch {
	case err != nil:
		r.say("could not run: %v", err)
		return failed
	case wasBroken:
		r.say("the rule was broken")
		return broken
	default:
		r.say("the rule held")
		return held
	}
}

// begin starts a small deployment: entry VMs in three data centres and the executors.
func begin(c *cluster, executors int) ([]*executor, error) {
	c.configure()
	var all []*executor
	kind := "b" // of the first executor
	for i := range executors {
		zone := []string{"pianura-a", "pianura-b", "pianura-c"}[i%3]
		all = append(all, c.fleet.add(fmt.Sprintf("i-%04d", i+1), service, zone, kind, fmt.Sprintf("r-%d", i/8), 16000))
		kind = "a"
	}
	for _, zone := range []string{"pianura-a", "pianura-b", "pianura-c"} {
		if err := c.startVM(zone); err != nil {
			return nil, err
		}
	}
	if err := c.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second) // until the owner knows all executors
	for _, v := range c.vms {
		select {
		case <-v.exited:
			return nil, fmt.Errorf("%s has ended", v.id)
		default:
		}
	}
	return all, nil
}
