package commands

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"filberthaven.example/configurer"
	"filberthaven.example/server"
	"github.com/jessevdk/go-flags"
)

// statusInterval is the time between two status requests, and between two attempts of
// wait to reach an entry VM.
const statusInterval = 2 * time.Second

// statusCommand shows the status of the fleet.
type statusCommand struct {
	env   *environment
	Watch bool `long:"watch" description:"show it again every two seconds"`
}

func addStatus(parser *flags.Parser, env *environment) error {
	_, err := parser.AddCommand("status", "show the fleet",
		`Shows the fleet, teams against their shares and limits, data centres, shards
with owners and terms, the revision in force on each entry VM, and the calls to
the platform.

  filberthaven status
  filberthaven status --watch
  filberthaven --json status

Exit codes: 0 printed; 5 the fleet can't be reached.`,
		&statusCommand{env: env})
	return err
}

// Execute runs the command.
func (c *statusCommand) Execute([]string) error {
	for {
		status, err := c.env.status(background())
		if err != nil {
			return err
		}
		if err := c.env.print(status, func(w io.Writer) error { return writeStatus(w, status) }); err != nil || !c.Watch {
			return err
		}
		if err := sleep(background(), statusInterval); err != nil {
			return err
		}
	}
}

// sleep waits for d, or until ctx is done.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// writeStatus writes the status as tables.
func writeStatus(w io.Writer, s server.Status) error {
	fleet := s.Fleet
	printLine(w, fmt.Sprintf("%s  entry VM %s in %s, revision %d", s.Time.Format(time.RFC3339), s.VM, s.Centre, s.Revision))
	printLine(w, fmt.Sprintf("%d workers, %s of %s processors used; tasks: %d running, %d pending; %d urgent requests in flight on %d executors",
		fleet.Workers, configurer.FormatProcessors(fleet.Used), configurer.FormatProcessors(fleet.Processors),
		fleet.Running, fleet.Pending, fleet.Flight, fleet.Executors))
	if !s.Complete {
		printLine(w, "not all owners of shards told what runs: processors used and tasks are incomplete")
	}
	if !s.Platform.Contact {
		printLine(w, "the key-value service does not answer")
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeTeams(table, s.Teams)
	writeCentres(table, s.Centres)
	writeShards(table, s.Shards)
	writeVMs(table, s)
	printLine(table, fmt.Sprintf("\nplatform: %.1f reads, %.1f writes, %.1f errors a second", s.Platform.Reads, s.Platform.Writes, s.Platform.Errors))
	return table.Flush()
}

func writeTeams(w io.Writer, teams []server.TeamStatus) {
	printLine(w, "\nTEAM\tSHARE\tPART\tPROCESSORS\tLIMIT\tFLIGHT\tSLOTS\tPENDING")
	for _, t := range teams {
		printLine(w, fmt.Sprintf("%s\t%g\t%.1f%%\t%s\t%s\t%d\t%s\t%d", t.Name, t.Share, t.Part*100,
			configurer.FormatProcessors(t.Used), configurer.FormatProcessors(t.Limit), t.Flight, configurer.FormatCount(t.Slots), t.Pending))
	}
}

func writeCentres(w io.Writer, centres []server.CentreStatus) {
	printLine(w, "\nDATA CENTRE\tSTATE\tENTRY VMS\tWORKERS\tRUNNING\tPENDING\tREASON")
	for _, c := range centres {
		printLine(w, fmt.Sprintf("%s\t%s\t%d\t%d\t%d\t%d\t%s", c.Name, c.State, c.Entries, c.Workers, c.Running, c.Pending, c.Reason))
	}
}

func writeShards(w io.Writer, shards []server.ShardStatus) {
	printLine(w, "\nSHARD\tOWNER\tTERM")
	for _, s := range shards {
		owner := s.Owner
		if owner == "" {
			owner = "none"
		}
		printLine(w, fmt.Sprintf("%s\t%s\t%d", s.Name, owner, s.Term))
	}
}

func writeVMs(w io.Writer, s server.Status) {
	printLine(w, "\nENTRY VM\tDATA CENTRE\tREVISION")
	for _, vm := range s.VMs {
		revision := "not reached"
		if vm.Reached {
			revision = fmt.Sprint(vm.Revision)
		}
		printLine(w, fmt.Sprintf("%s\t%s\t%s", vm.ID, vm.Centre, revision))
	}
}
