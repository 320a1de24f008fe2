package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

// caseTimeout ends a case that hangs.
const caseTimeout = 110 * time.Second

// cases are the cases by name. They return errBroken if the rule was broken, and another
// error if the case could not run.
var cases = map[string]func(r *record, trouble bool) error{
	"large-gang":     largeGang,
	"late-start":     lateStart,
	"removed-route":  removedRoute,
	"late-hold":      lateHold,
	"forgotten-runs": forgottenRuns,
	"other-kind":     otherKind,
	"rack-crash":     rackCrash,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		os.Exit(2)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case %s, disruption %v", os.Args[1], trouble)
	result := make(chan error, 1)
	go func() { result <- cases[os.Args[1]](r, trouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-result:
	case <-time.After(caseTimeout):
		err = errors.New("the case takes too long")
		killAll()
	case <-signals:
		err = errors.New("interrupted")
		killAll()
	}
	switch {
	case err == nil:
		r.note("result: the rule held")
		fmt.Println("the rule held")
	case errors.Is(err, errBroken):
		r.note("result: %v", err)
		fmt.Println(err)
		os.Exit(1)
	default:
		r.note("result: the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	}
}
