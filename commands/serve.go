package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"filberthaven.example/server"
	"github.com/jessevdk/go-flags"
)

// serveCommand runs one entry VM.
type serveCommand struct {
	env    *environment
	Config string `long:"config" short:"c" required:"yes" value-name:"FILE" description:"settings of this entry VM"`
	Check  bool   `long:"check" description:"only check the settings"`
}

func addServe(parser *flags.Parser, env *environment) error {
	_, err := parser.AddCommand("serve", "run one entry VM",
		`Runs one entry VM with the settings of a file, until SIGTERM or SIGINT. It then
shuts down gracefully: it reports that it is not ready, hands over its shards
and completes requests in flight. A second signal ends it at once.

  filberthaven serve --config entry-1.ini
  filberthaven serve --config entry-1.ini --check

Exit codes: 0 stopped in order; 1 failed; 3 the settings have errors.`, &serveCommand{env: env})
	return err
}

// Execute runs the command.
func (c *serveCommand) Execute([]string) error {
	settings, err := server.LoadSettings(c.Config)
	if err != nil {
		return err
	}
	if c.Check {
		return c.env.print(checkResult{Path: c.Config, OK: true}, func(w io.Writer) error {
			_, err := fmt.Fprintf(w, "%s: no errors\n", c.Config)
			return err
		})
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	context.AfterFunc(ctx, stop) // a second signal then ends the process
	vm, err := server.New(settings, server.WithLogger(server.NewLogger(settings.Logging(), c.env.stderr)), server.WithVersion(version()))
	if err != nil {
		return err
	}
	return vm.Run(ctx)
}
