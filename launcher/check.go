package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"filberthaven.example/configurer"
	"github.com/samber/oops"
)

const (
	stepTimeout = 30 * time.Second
	pollPause   = 50 * time.Millisecond
	jobTimeout  = 20 * time.Second
)

// ErrCheck means that a step of the check gave another result than it should.
var ErrCheck = errors.New("unexpected result")

// Step is one step of the check.
type Step struct {
	name string
	run  func(context.Context) (string, error) // tells what it saw
}

// Check runs the main job from end to end and writes a line for each step. It
// returns the first error.
func (f *Fleet) Check(ctx context.Context, out io.Writer) error {
	for _, step := range f.steps() {
		start := time.Now()
		ctx, cancel := context.WithTimeout(ctx, stepTimeout)
		seen, err := step.run(ctx)
		cancel()
		if err != nil {
			fmt.Fprintf(out, "FAIL %-28s %v\n", step.name, err)
			return oops.In("launcher").With("step", step.name).Wrap(err)
		}
		fmt.Fprintf(out, "ok   %-28s %s (%v)\n", step.name, seen, time.Since(start).Round(time.Millisecond))
	}
	return nil
}

// steps returns the steps of the check, in order.
func (f *Fleet) steps() []Step {
	return []Step{
		{"urgent request answered", f.checkUrgent},
		{"job accepted and done", f.checkJob},
		{"gang run", f.checkGang},
		{"job cancelled", f.checkCancel},
		{"data centre drained", f.checkDrain},
		{"data centre returned", f.checkReturn},
		{"key withdrawn", f.checkWithdrawn},
		{"no promise broken", f.checkWitness},
	}
}

// checkUrgent sends a request through each entry VM and compares the answer.
func (f *Fleet) checkUrgent(ctx context.Context) (string, error) {
	for _, vm := range f.vms {
		text := "slot for " + vm.id
		answer, err := f.call(ctx, vm, f.keys.team, http.MethodPost, "/v1/services/"+f.plan.service+"/book", []byte(text))
		if err != nil {
			return "", err
		}
		if answer.status != http.StatusOK || string(answer.body) != text {
			return "", answer.unexpected()
		}
	}
	return fmt.Sprintf("%d entry VMs, each answer whole", len(f.vms)), nil
}

// checkJob submits a job and waits for its end at another entry VM.
func (f *Fleet) checkJob(ctx context.Context) (string, error) {
	return f.runJob(ctx, `{"name":"rebuild","tasks":8,"cpu":1,"memory":512,"class":"deferred","estimate":"300ms"}`)
}

// checkGang runs a gang over all workers of a data centre.
func (f *Fleet) checkGang(ctx context.Context) (string, error) {
	body := fmt.Sprintf(`{"name":"tariffs","tasks":%d,"cpu":2,"memory":1024,"class":"deferred","gang":true,"estimate":"300ms"}`, f.plan.workers)
	return f.runJob(ctx, body)
}

// runJob submits a job at the first entry VM and waits at the last.
func (f *Fleet) runJob(ctx context.Context, body string) (string, error) {
	id, err := f.submit(ctx, f.vms[0], body)
	if err != nil {
		return "", err
	}
	return f.await(ctx, f.vms[len(f.vms)-1], id)
}

// checkCancel cancels a job whose tasks run, and sees that none is told as done.
func (f *Fleet) checkCancel(ctx context.Context) (string, error) {
	id, err := f.submit(ctx, f.vms[0], `{"name":"tariff","tasks":2,"cpu":1,"memory":512,"class":"deferred","estimate":"1h"}`)
	if err != nil {
		return "", err
	}
	path := "/v1/jobs/" + id
	if _, err := f.call(ctx, f.vms[1], f.keys.team, http.MethodDelete, path, nil); err != nil {
		return "", err
	}
	answer, err := f.call(ctx, f.vms[1], f.keys.team, http.MethodGet, path+"/wait?timeout="+jobTimeout.String(), nil)
	if err != nil {
		return "", err
	}
	var job struct {
		State string
		Done  int
	}
	if json.Unmarshal(answer.body, &job) != nil || job.State != "cancelled" || job.Done != 0 {
		return "", answer.unexpected()
	}
	return "job " + id + " cancelled, 0 tasks done", nil
}

// submit submits a job and returns its id.
func (f *Fleet) submit(ctx context.Context, vm *VM, body string) (string, error) {
	answer, err := f.call(ctx, vm, f.keys.team, http.MethodPost, "/v1/jobs", []byte(body))
	if err != nil {
		return "", err
	}
	var accepted struct{ ID string }
	if answer.status != http.StatusAccepted || json.Unmarshal(answer.body, &accepted) != nil {
		return "", answer.unexpected()
	}
	return accepted.ID, nil
}

// await waits until a job is done.
func (f *Fleet) await(ctx context.Context, vm *VM, id string) (string, error) {
	answer, err := f.call(ctx, vm, f.keys.team, http.MethodGet, "/v1/jobs/"+id+"/wait?timeout="+jobTimeout.String(), nil)
	if err != nil {
		return "", err
	}
	var job struct {
		State string
		Done  int
	}
	if answer.status != http.StatusOK || json.Unmarshal(answer.body, &job) != nil || job.State != "done" {
		return "", answer.unexpected()
	}
	return fmt.Sprintf("job %s, %d tasks done", id, job.Done), nil
}

// checkDrain takes the first data centre out, and runs a job that is sent to it.
func (f *Fleet) checkDrain(ctx context.Context) (string, error) {
	centre := f.plan.centres[0]
	if err := f.operate(ctx, "drain", map[string]any{"centre": centre, "reason": "check"}); err != nil {
		return "", err
	}
	f.witness.SetDrained(centre, time.Now().Add(2*time.Second))
	seen, err := f.runJob(ctx, `{"name":"plan","tasks":4,"cpu":1,"memory":512,"class":"deferred","estimate":"200ms"}`)
	if err != nil {
		return "", err
	}
	urgent, err := f.checkUrgent(ctx)
	return fmt.Sprintf("%s out; %s; %s", centre, seen, urgent), err
}

// checkReturn brings the data centre back.
func (f *Fleet) checkReturn(ctx context.Context) (string, error) {
	centre := f.plan.centres[0]
	f.witness.SetReturned(centre)
	if err := f.operate(ctx, "return", map[string]any{"centre": centre, "reason": "check"}); err != nil {
		return "", err
	}
	seen, err := f.runJob(ctx, `{"name":"plan","tasks":4,"cpu":1,"memory":512,"class":"deferred","estimate":"200ms"}`)
	return fmt.Sprintf("%s in; %s", centre, seen), err
}

// checkWithdrawn withdraws the team's key and sees it refused everywhere.
func (f *Fleet) checkWithdrawn(ctx context.Context) (string, error) {
	if err := f.operate(ctx, "withdraw", map[string]any{"key": f.keys.teamID, "reason": "check"}); err != nil {
		return "", err
	}
	for _, vm := range f.vms {
		answer, err := f.call(ctx, vm, f.keys.team, http.MethodGet, "/v1/jobs", nil)
		if err != nil {
			return "", err
		}
		if answer.status != http.StatusUnauthorized {
			return "", answer.unexpected()
		}
	}
	return fmt.Sprintf("refused on %d entry VMs", len(f.vms)), nil
}

// checkWitness looks at what workers and executors saw.
func (f *Fleet) checkWitness(context.Context) (string, error) {
	broken := f.witness.Violations()
	for _, executor := range f.stands {
		if n := executor.Breaches(); n > 0 {
			broken = append(broken, fmt.Sprintf("%d breaches of an executor's bounds", n))
		}
		broken = append(broken, executor.Repeated()...)
	}
	if len(broken) > 0 {
		return "", fmt.Errorf("%w: %v", ErrCheck, broken)
	}
	return fmt.Sprintf("%d task starts witnessed", f.witness.Starts()), nil
}

// operate sends an operator's change to the first entry VM.
func (f *Fleet) operate(ctx context.Context, verb string, change map[string]any) error {
	body, err := json.Marshal(change)
	if err != nil {
		return err
	}
	answer, err := f.call(ctx, f.vms[0], f.keys.operator, http.MethodPost, configurer.BasePath+"/"+verb, body)
	if err != nil {
		return err
	}
	if answer.status != http.StatusOK {
		return answer.unexpected()
	}
	return nil
}

// answer is the answer to a call.
type answer struct {
	what   string
	status int
	body   []byte
}

// unexpected returns an error that shows the answer.
func (a answer) unexpected() error {
	return fmt.Errorf("%w: %s answered %d %s", ErrCheck, a.what, a.status, bytes.TrimSpace(a.body))
}

// call calls the callers' or operators' API of an entry VM with a key.
func (f *Fleet) call(ctx context.Context, vm *VM, key, method, path string, body []byte) (answer, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+vm.Address()+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{what: method + " " + path + " at " + vm.id, status: response.StatusCode, body: data}, err
}
