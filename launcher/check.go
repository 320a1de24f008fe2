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
	stepTimeout  = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	jobTimeout   = 20 * time.Second
)

// ErrCheck means that a step of the check had an unexpected result.
var ErrCheck = errors.New("unexpected result")

// Step is one step of the check.
type Step struct {
	name string
	run  func(context.Context) (string, error) // returns a description of the result
}

// Check exercises the main features of the fleet from end to end and writes a line to
// out for each step. It returns the first error.
func (f *Fleet) Check(ctx context.Context, out io.Writer) error {
	for _, step := range f.steps() {
		start := time.Now()
		ctx, cancel := context.WithTimeout(ctx, stepTimeout)
		result, err := step.run(ctx)
		cancel()
		if err != nil {
			fmt.Fprintf(out, "FAIL %-28s %v\n", step.name, err)
			return oops.In("launcher").With("step", step.name).Wrap(err)
		}
		fmt.Fprintf(out, "ok   %-28s %s (%v)\n", step.name, result, time.Since(start).Round(time.Millisecond))
	}
	return nil
}

// steps returns the steps of the check, in order.
func (f *Fleet) steps() []Step {
	return []Step{
		{"urgent request answered", f.checkUrgent},
		{"job accepted and done", f.checkJob},
		{"gang job done", f.checkGang},
		{"job cancelled", f.checkCancel},
		{"data centre drained", f.checkDrain},
		{"data centre returned", f.checkReturn},
		{"key withdrawn", f.checkWithdrawn},
		{"no invariant violated", f.checkInvariants},
	}
}

// checkUrgent sends an urgent request through each entry VM and checks that the executor
// echoes it.
func (f *Fleet) checkUrgent(ctx context.Context) (string, error) {
	for _, vm := range f.vms {
		text := "slot for " + vm.id
		response, err := f.call(ctx, vm, f.keys.team, http.MethodPost, "/v1/services/"+f.spec.service+"/book", []byte(text))
		if err != nil {
			return "", err
		}
		if response.status != http.StatusOK || string(response.body) != text {
			return "", response.unexpectedError()
		}
	}
	return fmt.Sprintf("%d entry VMs, each response complete", len(f.vms)), nil
}

// checkJob submits a job, and waits through another entry VM until it is done.
func (f *Fleet) checkJob(ctx context.Context) (string, error) {
	return f.runJob(ctx, `{"name":"rebuild","tasks":8,"cpu":1,"memory":512,"class":"deferred","estimate":"300ms"}`)
}

// checkGang runs a gang with as many tasks as a data centre has workers.
func (f *Fleet) checkGang(ctx context.Context) (string, error) {
	body := fmt.Sprintf(`{"name":"tariffs","tasks":%d,"cpu":2,"memory":1024,"class":"deferred","gang":true,"estimate":"300ms"}`, f.spec.workers)
	return f.runJob(ctx, body)
}

// runJob submits a job to the first entry VM, and waits through the last until it is done.
func (f *Fleet) runJob(ctx context.Context, body string) (string, error) {
	id, err := f.submit(ctx, f.vms[0], body)
	if err != nil {
		return "", err
	}
	return f.waitDone(ctx, f.vms[len(f.vms)-1], id)
}

// checkCancel cancels a job with long tasks, and checks that no task is reported as done.
func (f *Fleet) checkCancel(ctx context.Context) (string, error) {
	id, err := f.submit(ctx, f.vms[0], `{"name":"tariff","tasks":2,"cpu":1,"memory":512,"class":"deferred","estimate":"1h"}`)
	if err != nil {
		return "", err
	}
	path := "/v1/jobs/" + id
	if _, err := f.call(ctx, f.vms[1], f.keys.team, http.MethodDelete, path, nil); err != nil {
		return "", err
	}
	response, err := f.call(ctx, f.vms[1], f.keys.team, http.MethodGet, path+"/wait?timeout="+jobTimeout.String(), nil)
	if err != nil {
		return "", err
	}
	var job struct {
		State string
		Done  int
	}
	if json.Unmarshal(response.body, &job) != nil || job.State != "cancelled" || job.Done != 0 {
		return "", response.unexpectedError()
	}
	return "job " + id + " cancelled, 0 tasks done", nil
}

// submit submits a job and returns its id.
func (f *Fleet) submit(ctx context.Context, vm *VM, body string) (string, error) {
	response, err := f.call(ctx, vm, f.keys.team, http.MethodPost, "/v1/jobs", []byte(body))
	if err != nil {
		return "", err
	}
	var accepted struct{ ID string }
	if response.status != http.StatusAccepted || json.Unmarshal(response.body, &accepted) != nil {
		return "", response.unexpectedError()
	}
	return accepted.ID, nil
}

// waitDone waits until a job is done and returns a description of it.
func (f *Fleet) waitDone(ctx context.Context, vm *VM, id string) (string, error) {
	response, err := f.call(ctx, vm, f.keys.team, http.MethodGet, "/v1/jobs/"+id+"/wait?timeout="+jobTimeout.String(), nil)
	if err != nil {
		return "", err
	}
	var job struct {
		State string
		Done  int
	}
	if response.status != http.StatusOK || json.Unmarshal(response.body, &job) != nil || job.State != "done" {
		return "", response.unexpectedError()
	}
	return fmt.Sprintf("job %s, %d tasks done", id, job.Done), nil
}

// checkDrain drains the first data centre. Then it submits a job to an entry VM there, and
// sends urgent requests to all entry VMs. The job must get done and the requests be served.
func (f *Fleet) checkDrain(ctx context.Context) (string, error) {
	centre := f.spec.centres[0]
	if err := f.postChange(ctx, "drain", map[string]any{"centre": centre, "reason": "check"}); err != nil {
		return "", err
	}
	f.checker.SetDrained(centre, time.Now().Add(2*time.Second))
	deferred, err := f.runJob(ctx, `{"name":"plan","tasks":4,"cpu":1,"memory":512,"class":"deferred","estimate":"200ms"}`)
	if err != nil {
		return "", err
	}
	urgent, err := f.checkUrgent(ctx)
	return fmt.Sprintf("%s out; %s; %s", centre, deferred, urgent), err
}

// checkReturn returns the drained data centre to service and runs a job.
func (f *Fleet) checkReturn(ctx context.Context) (string, error) {
	centre := f.spec.centres[0]
	f.checker.ClearDrained(centre)
	if err := f.postChange(ctx, "return", map[string]any{"centre": centre, "reason": "check"}); err != nil {
		return "", err
	}
	result, err := f.runJob(ctx, `{"name":"plan","tasks":4,"cpu":1,"memory":512,"class":"deferred","estimate":"200ms"}`)
	return fmt.Sprintf("%s in; %s", centre, result), err
}

// checkWithdrawn withdraws the team's key and checks that every entry VM refuses it.
func (f *Fleet) checkWithdrawn(ctx context.Context) (string, error) {
	if err := f.postChange(ctx, "withdraw", map[string]any{"key": f.keys.teamID, "reason": "check"}); err != nil {
		return "", err
	}
	for _, vm := range f.vms {
		response, err := f.call(ctx, vm, f.keys.team, http.MethodGet, "/v1/jobs", nil)
		if err != nil {
			return "", err
		}
		if response.status != http.StatusUnauthorized {
			return "", response.unexpectedError()
		}
	}
	return fmt.Sprintf("refused on %d entry VMs", len(f.vms)), nil
}

// checkInvariants checks that the workers and executors saw no violation of an invariant.
func (f *Fleet) checkInvariants(context.Context) (string, error) {
	violations := f.checker.Violations()
	for _, executor := range f.executors {
		if n := executor.Breaches(); n > 0 {
			violations = append(violations, fmt.Sprintf("executor limits exceeded %d times", n))
		}
		violations = append(violations, executor.Repeated()...)
	}
	if len(violations) > 0 {
		return "", fmt.Errorf("%w: %v", ErrCheck, violations)
	}
	return fmt.Sprintf("%d task starts checked", f.checker.Starts()), nil
}

// postChange sends an operator's change, such as drain, to the first entry VM.
func (f *Fleet) postChange(ctx context.Context, operation string, change map[string]any) error {
	body, err := json.Marshal(change)
	if err != nil {
		return err
	}
	response, err := f.call(ctx, f.vms[0], f.keys.operator, http.MethodPost, configurer.BasePath+"/"+operation, body)
	if err != nil {
		return err
	}
	if response.status != http.StatusOK {
		return response.unexpectedError()
	}
	return nil
}

// apiResponse is the response to an API call.
type apiResponse struct {
	call   string // method, path and entry VM, for errors
	status int    // HTTP status
	body   []byte
}

// unexpectedError returns an ErrCheck that shows the response.
func (r apiResponse) unexpectedError() error {
	return fmt.Errorf("%w: %s answered %d %s", ErrCheck, r.call, r.status, bytes.TrimSpace(r.body))
}

// call calls the API of an entry VM with the key of a team or an operator.
func (f *Fleet) call(ctx context.Context, vm *VM, key, method, path string, body []byte) (apiResponse, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+vm.Address()+path, bytes.NewReader(body))
	if err != nil {
		return apiResponse{}, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return apiResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return apiResponse{call: method + " " + path + " at " + vm.id, status: response.StatusCode, body: data}, err
}
