package commands

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"
)

// submitCommand submits a job.
type submitCommand struct {
	env           *environment
	Name          string        `long:"name" description:"stable name of this kind of work; run times are learnt by it"`
	Tasks         int           `long:"tasks" default:"1" description:"number of tasks"`
	CPU           float64       `long:"cpu" default:"1" description:"processors of a task"`
	Memory        int64         `long:"memory" default:"256" value-name:"MIB" description:"memory of a task"`
	Accelerators  int64         `long:"accelerators" description:"accelerators of a task"`
	Class         string        `long:"class" default:"deferred" choice:"urgent" choice:"service" choice:"deferred" choice:"besteffort" description:"policy"`
	Queue         string        `long:"queue" default:"default" description:"queue"`
	Estimate      time.Duration `long:"estimate" description:"run time of a task, such as 5m"`
	Within        time.Duration `long:"within" description:"time until the deadline, such as 6h"`
	Gang          bool          `long:"gang" description:"all tasks start together or none does"`
	NonIdempotent bool          `long:"non-idempotent" description:"no task may run twice"`
	Request       string        `long:"request" description:"own id; a repeat with the same id finds the first job"`
	Wait          bool          `long:"wait" description:"wait until the job has ended"`
}

// submission is the request body of the callers' API for a new job.
type submission struct {
	Name         string  `json:"name,omitempty"`
	Tasks        int     `json:"tasks"`
	CPU          float64 `json:"cpu"`
	Memory       int64   `json:"memory"`
	Accelerators int64   `json:"accelerators,omitempty"`
	Class        string  `json:"class"`
	Queue        string  `json:"queue"`
	Estimate     string  `json:"estimate,omitempty"`
	Within       string  `json:"within,omitempty"`
	Gang         bool    `json:"gang,omitempty"`
	Idempotent   bool    `json:"idempotent"`
	Request      string  `json:"request,omitempty"`
}

// receipt is the response to an accepted job.
type receipt struct {
	ID        string `json:"id"`
	Duplicate bool   `json:"duplicate"`
}

func addSubmit(parser *flags.Parser, env *environment) error {
	_, err := parser.AddCommand("submit", "submit a job",
		`Submits a job and prints its id once it is accepted. An accepted job can't be
lost. The call carries a request id, so that it is safe to repeat.

  filberthaven submit --name rebuild --tasks 8 --cpu 2 --memory 4096 --estimate 20m --within 6h
  filberthaven submit --name tariffs --tasks 4 --gang --wait
  filberthaven submit --non-idempotent --request invoice-2026-12

Exit codes: 0 accepted; 1 the job failed (with --wait); 3 refused, not run; 5 the
fleet can't be reached, or the outcome is unknown: repeat it with the same --request.`,
		&submitCommand{env: env})
	return err
}

// Execute runs the command.
func (c *submitCommand) Execute([]string) error {
	if c.Request == "" {
		c.Request = uuid.NewString()
	}
	var accepted receipt
	err := c.env.jobCall(background(), http.MethodPost, "/v1/jobs", c.submission(), &accepted)
	if err != nil {
		return fmt.Errorf("request %s: %w", c.Request, err)
	}
	if c.Wait {
		return c.env.waitJob(background(), accepted.ID)
	}
	return c.env.print(accepted, func(w io.Writer) error {
		_, err := fmt.Fprintln(w, accepted.ID)
		return err
	})
}

// submission returns the request body for the options.
func (c *submitCommand) submission() submission {
	return submission{
		Name: c.Name, Tasks: c.Tasks, CPU: c.CPU, Memory: c.Memory, Accelerators: c.Accelerators,
		Class: c.Class, Queue: c.Queue, Estimate: durationText(c.Estimate), Within: durationText(c.Within),
		Gang: c.Gang, Idempotent: !c.NonIdempotent, Request: c.Request,
	}
}

// durationText returns d as text for JSON, or "" for 0.
func durationText(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}
