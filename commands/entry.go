package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"filberthaven.example/runner"
	"filberthaven.example/spooler"
	"github.com/jessevdk/go-flags"
	"github.com/rcrowley/go-metrics"
)

// entryCommand runs one entry VM on the users' platform.
type entryCommand struct {
	env    *environment
	Config string `long:"config" short:"c" required:"yes" value-name:"FILE" description:"settings of this entry VM"`
	Check  bool   `long:"check" description:"only check the settings"`
}

func addEntry(parser *flags.Parser, env *environment) error {
	_, err := parser.AddCommand("entry", "run one entry VM on the users' platform",
		`Runs one entry VM on the users' platform, with the settings of a file, until
SIGTERM or SIGINT. It then stops in order: another VM takes the fleet over, the
balancer sends callers elsewhere, requests under way end. SIGHUP changes nothing:
the settings count from the start.

  filberthaven entry --config entry.ini
  filberthaven entry --config entry.ini --check

Exit codes: 0 stopped in order; 1 failed; 3 the settings have errors.`, &entryCommand{env: env})
	return err
}

const (
	// heapGrowth is the percentage by which the heap grows between collections:
	// processor time is dearer than memory.
	heapGrowth = 300
	// heapLimit is the size in bytes at which collections come more often when the
	// settings don't tell the VM's memory: well below the smallest entry VM's.
	heapLimit = 120 << 20
	// heapPart is that size as a part of the memory that the settings tell; what
	// connections hold back outside the heap takes the rest. An owner of 3,000
	// workers collected all the time at 120 MiB.
	heapPart = 0.65
)

// Execute carries out the command.
func (c *entryCommand) Execute([]string) error {
	settings, err := runner.LoadSettings(c.Config)
	if err != nil {
		return err
	}
	if c.Check {
		return c.env.print(checkResult{Path: c.Config, OK: true}, func(w io.Writer) error {
			_, err := fmt.Fprintf(w, "%s: no errors\n", c.Config)
			return err
		})
	}
	debug.SetGCPercent(heapGrowth)
	limit := int64(heapLimit)
	if memory := settings.Memory(); memory > 0 {
		limit = int64(heapPart * float64(memory))
	}
	debug.SetMemoryLimit(limit)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	signal.Ignore(syscall.SIGHUP)
	registry := metrics.NewRegistry()
	log, err := spooler.New(c.env.out, spooler.WithRate(settings.Rate()), spooler.WithJSON(settings.JSON()), spooler.WithRegistry(registry))
	if err != nil {
		return err
	}
	defer flush(log)
	vm, err := runner.New(settings, runner.NewLogger(settings, log), registry)
	if err != nil {
		return err
	}
	return vm.Run(ctx)
}

// flushTime bounds the writing of the last log lines at the end.
const flushTime = 500 * time.Millisecond

// flush writes the last log lines, unless nobody reads them.
func flush(log *spooler.Spooler) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTime)
	defer cancel()
	if err := log.Close(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "filberthaven: last log lines were not read:", err)
	}
}
