package commands

import (
	"fmt"
	"io"
	"os"

	"filberthaven.example/measurer"
	"github.com/jessevdk/go-flags"
)

// measureCommand measures scheduling decisions in virtual time.
type measureCommand struct {
	env    *environment
	Seed   uint64   `long:"seed" default:"1" value-name:"NUMBER" description:"seed of the workloads"`
	Load   []string `long:"load" value-name:"NAME" description:"workload to run: essiccatoi, lychnos or twoyear; may be given more than once"`
	HTML   string   `long:"html" value-name:"FILE" description:"write a page with plots to this file"`
	Brief  bool     `long:"brief" description:"run the workloads only, without the checks of targets"`
	report measurer.Report
}

func addMeasure(parser *flags.Parser, env *environment) error {
	_, err := parser.AddCommand("measure", "measure the decisions against baselines",
		`Runs workloads in virtual time through the scheduling decisions and through two
baselines: first fit in order of arrival, and least slack with all run times
known. Needs no fleet and changes nothing. All workloads together take some
minutes.

  filberthaven measure --load essiccatoi
  filberthaven --json measure --seed 2 --html report.html

Exit codes: 0 done, also when a target isn't met; 1 failed.`, &measureCommand{env: env})
	return err
}

// Execute runs the command.
func (c *measureCommand) Execute([]string) error {
	options := []measurer.Option{measurer.WithSeed(c.Seed), measurer.WithChecks(!c.Brief)}
	if len(c.Load) > 0 {
		options = append(options, measurer.WithLoads(c.Load...))
	}
	report, err := measurer.Run(options...)
	if err != nil {
		return err
	}
	c.report = report
	if c.HTML != "" {
		if err := c.writePage(); err != nil {
			return err
		}
	}
	return c.env.print(report, c.writeText)
}

func (c *measureCommand) writePage() error {
	file, err := os.Create(c.HTML)
	if err != nil {
		return fmt.Errorf("page: %w", err)
	}
	if err := c.report.HTML(file); err != nil {
		_ = file.Close() // the first error is the cause
		return err
	}
	return file.Close()
}

func (c *measureCommand) writeText(w io.Writer) error {
	for _, load := range c.report.Loads {
		printLine(w, fmt.Sprintf("%s: %d workers, %d jobs", load.Name, load.Workers, load.Jobs))
		for _, p := range load.Policies {
			printLine(w, fmt.Sprintf("  %-8s missed %6.2f%% of %d, used %5.1f%%, urgent p99 %.3f s, decision p99 %.1f us",
				p.Name, 100*p.Missed, p.Due, 100*p.Used, p.Waits[0].P99, p.P99))
		}
	}
	for _, check := range c.report.Checks {
		printLine(w, formatCheck(check))
	}
	return nil
}

func formatCheck(check measurer.Check) string {
	word, sign := "MISSED", "<="
	if check.Met {
		word = "met"
	}
	if check.Least {
		sign = ">="
	}
	return fmt.Sprintf("%-6s %-50s %8.4f %s %.4g (%s)", word, check.Name, check.Figure, sign, check.Target, check.Note)
}
