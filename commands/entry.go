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
SIGTERM or SIGINT. It then shuts down gracefully: another VM takes over the
fleet, the balancer sends callers elsewhere, requests in flight are completed.
SIGHUP is ignored: the settings are read only at the start.

  filberthaven entry --config entry.ini
  filberthaven entry --config entry.ini --check

Exit codes: 0 stopped in order; 1 failed; 3 the settings have errors.`, &entryCommand{env: env})
	return err
}

const (
	// gcPercent is the percentage by which the heap grows between collections. It is
	// above Go's default because processor time costs more than memory.
	gcPercent = 300
	// defaultMemoryLimit is the soft memory limit in bytes, above which collections
	// are more frequent, if the settings don't give the VM's memory. It is well below
	// the memory of the smallest entry VM.
	defaultMemoryLimit = 120 << 20
	// memoryFraction is the fraction of the memory in the settings that becomes the soft
	// memory limit. The rest is for what connections hold outside the heap. Large fleets
	// need the setting: with defaultMemoryLimit an owner of 3,000 workers collected
	// garbage all the time.
	memoryFraction = 0.65
)

// Execute runs the command.
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
	debug.SetGCPercent(gcPercent)
	limit := int64(defaultMemoryLimit)
	if memory := settings.Memory(); memory > 0 {
		limit = int64(memoryFraction * float64(memory))
	}
	debug.SetMemoryLimit(limit)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	signal.Ignore(syscall.SIGHUP)
	registry := metrics.NewRegistry()
	log, err := spooler.New(c.env.stdout, spooler.WithRate(settings.Rate()), spooler.WithJSON(settings.JSON()), spooler.WithRegistry(registry))
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

// flushTimeout bounds the writing of the last log lines at shutdown.
const flushTimeout = 500 * time.Millisecond

// flush writes the last log lines. It gives up after flushTimeout if the reader of
// the log is blocked.
func flush(log *spooler.Spooler) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := log.Close(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "filberthaven: last log lines were not read:", err)
	}
}
