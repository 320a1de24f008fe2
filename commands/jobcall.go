package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"filberthaven.example/configurer"
	"filberthaven.example/router"
)

// maxResponseBytes is how much of a response body is read.
const maxResponseBytes = 16 << 20

// errRefused means that the fleet refused a call of the jobs API.
var errRefused = errors.New("refused")

// job is the status of a job as the callers' API returns it.
type job struct {
	ID        string    `json:"id"`
	Name      string    `json:"name"`
	Team      string    `json:"team"`
	Class     string    `json:"class"`
	State     string    `json:"state"`
	Terminal  bool      `json:"terminal"`
	Tasks     int       `json:"tasks"`
	Pending   int       `json:"pending"`
	Running   int       `json:"running"`
	Done      int       `json:"done"`
	Failed    int       `json:"failed"`
	Unknown   int       `json:"unknown"`
	Deadline  time.Time `json:"deadline,omitzero"`
	Submitted time.Time `json:"submitted,omitzero"`
}

// write writes the status as one line.
func (j job) write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s %s: %d tasks, %d pending, %d running, %d done, %d failed, %d unknown\n",
		j.ID, j.State, j.Tasks, j.Pending, j.Running, j.Done, j.Failed, j.Unknown)
	return err
}

// problem is the problem document with which the callers' API refuses a call.
type problem struct {
	Code    string `json:"code"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
}

// jobCall calls the callers' API and decodes the response body into result.
func (e *environment) jobCall(ctx context.Context, method, path string, body, result any) error {
	if e.Address == "" {
		return &exitError{exitUsage, errNoAddress}
	}
	client, err := e.httpClient()
	if err != nil {
		return err
	}
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(e.Address, "/")+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+e.Key)
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", configurer.ErrUnreachable, err)
	}
	defer func() { _ = response.Body.Close() }()
	return decodeResponse(response, result)
}

// decodeResponse decodes the body of a successful response into result. For any other
// response it returns an exitError: exitUnreachable if the outcome is unknown, else
// exitRefused.
func decodeResponse(response *http.Response, result any) error {
	body := io.LimitReader(response.Body, maxResponseBytes)
	if response.StatusCode < http.StatusMultipleChoices {
		return json.NewDecoder(body).Decode(result)
	}
	refusal := problem{Code: "http", Detail: response.Status}
	_ = json.NewDecoder(body).Decode(&refusal) // without a problem document the error states the HTTP status
	err := fmt.Errorf("%w: %s: %s", errRefused, refusal.Code, refusal.Detail)
	if refusal.Outcome == string(router.Unknown) {
		return &exitError{exitUnreachable, err}
	}
	return &exitError{exitRefused, err}
}

// jobPath returns the path of a job in the callers' API.
func jobPath(id string) string { return "/v1/jobs/" + url.PathEscape(id) }

// jobArgument is the argument for the id of a job.
type jobArgument struct {
	Args struct {
		ID string `positional-arg-name:"ID" description:"identifier of the job"`
	} `positional-args:"yes" required:"yes"`
}
