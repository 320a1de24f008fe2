package router

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"mime"
	"net/http"
	"os"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"filberthaven.example/limiter"
	"filberthaven.example/placer"
)

// Largest values that a job may request.
const (
	maxTasks        = 100_000
	maxCPU          = 4096.0  // processors per task
	maxMemory       = 1 << 26 // MiB per task
	maxAccelerators = 1024    // devices per task
	maxNameBytes    = 128     // of a name, queue, rack or request id
	maxDuration     = 366 * 24 * time.Hour
	milliPerCPU     = 1000
)

// jobRequest is the body of POST /v1/jobs. Pointers distinguish absent from zero
// values.
type jobRequest struct {
	Tasks        *int       `json:"tasks"`
	CPU          float64    `json:"cpu"`          // processors per task
	Memory       int64      `json:"memory"`       // MiB per task
	Accelerators int64      `json:"accelerators"` // devices per task
	Class        string     `json:"class"`
	Deadline     *time.Time `json:"deadline"`
	Within       *duration  `json:"within"`
	Gang         bool       `json:"gang"`
	Idempotent   *bool      `json:"idempotent"`
	Estimate     *duration  `json:"estimate"`
	Queue        string     `json:"queue"`
	Name         string     `json:"name"`
	Request      string     `json:"request"`
	Rack         string     `json:"rack"`
	Spread       bool       `json:"spread"`
}

// duration is a time.Duration that is written as text in JSON, such as "90s".
type duration time.Duration

// UnmarshalJSON reads a positive duration of at most maxDuration.
func (d *duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.New(`a duration is text such as "90s"`)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("duration %q is not valid", text)
	}
	if parsed <= 0 || parsed > maxDuration {
		return fmt.Errorf("duration %q is out of range", text)
	}
	*d = duration(parsed)
	return nil
}

// readJob reads the requested job from the body. It accepts exactly one JSON object
// with known fields. Its errors are of type *ProblemError.
func readJob(w http.ResponseWriter, request *http.Request) (jobRequest, error) {
	if mediaType, _, err := mime.ParseMediaType(request.Header.Get("Content-Type")); err != nil || mediaType != "application/json" {
		return jobRequest{}, NewProblem(http.StatusUnsupportedMediaType, "media", "the body must be application/json")
	}
	stop := setReadTimeout(w, bodyTimeout)
	defer stop()
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, MaxJobBytes))
	if err != nil {
		return jobRequest{}, bodyProblem(err)
	}
	return parseJob(body)
}

// bodyProblem returns the problem for a request body that could not be read.
func bodyProblem(err error) *ProblemError {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return NewProblem(http.StatusRequestEntityTooLarge, "large", fmt.Sprintf("the body is over %d bytes", tooLarge.Limit))
	}
	if limiter.IsRefused(err) {
		return NewProblem(http.StatusServiceUnavailable, "busy", err.Error())
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return NewProblem(http.StatusRequestTimeout, "slow", "the body came too slowly")
	}
	return NewProblem(http.StatusBadRequest, "body", "the body could not be read")
}

// parseJob decodes and validates the body of a job submission.
func parseJob(body []byte) (jobRequest, error) {
	var job jobRequest
	if !utf8.Valid(body) {
		return job, NewProblem(http.StatusBadRequest, "json", "the body is not UTF-8")
	}
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&job); err != nil {
		return job, NewProblem(http.StatusBadRequest, "json", cleanJSONError(err))
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return job, NewProblem(http.StatusBadRequest, "json", "data follows the object")
	}
	if reason := job.invalidReason(); reason != "" {
		return job, NewProblem(http.StatusUnprocessableEntity, "invalid", reason)
	}
	return job, nil
}

// cleanJSONError returns the message of a JSON error without the names of Go types.
func cleanJSONError(err error) string {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return fmt.Sprintf("field %q has the wrong type or is out of range", typeErr.Field)
	}
	return strings.TrimPrefix(err.Error(), "json: ")
}

// invalidReason returns why the job is invalid, or "" if it is valid.
func (j *jobRequest) invalidReason() string {
	switch {
	case j.Tasks != nil && (*j.Tasks < 1 || *j.Tasks > maxTasks):
		return fmt.Sprintf("tasks must be from 1 to %d", maxTasks)
	case math.IsNaN(j.CPU) || j.CPU < 0 || j.CPU > maxCPU:
		return fmt.Sprintf("cpu must be from 0 to %g processors", maxCPU)
	case j.Memory < 0 || j.Memory > maxMemory:
		return fmt.Sprintf("memory must be from 0 to %d MiB", maxMemory)
	case j.Accelerators < 0 || j.Accelerators > maxAccelerators:
		return fmt.Sprintf("accelerators must be from 0 to %d", maxAccelerators)
	case j.size().IsZero():
		return "a task must ask for cpu, memory or accelerators"
	case j.Deadline != nil && j.Within != nil:
		return "deadline and within exclude each other"
	}
	return j.invalidTextReason()
}

// invalidTextReason returns why a name or the class of the job is invalid, or "" if all
// are valid.
func (j *jobRequest) invalidTextReason() string {
	for field, text := range map[string]string{"queue": j.Queue, "name": j.Name, "request": j.Request, "rack": j.Rack} {
		if !isValidName(text) {
			return fmt.Sprintf("%s must be at most %d printable characters", field, maxNameBytes)
		}
	}
	if j.Class == "" {
		return ""
	}
	if _, err := placer.ParseClass(j.Class); err != nil {
		return err.Error()
	}
	return ""
}

// isValidName reports whether text is printable and at most maxNameBytes long.
func isValidName(text string) bool {
	return len(text) <= maxNameBytes && strings.IndexFunc(text, func(c rune) bool { return !unicode.IsPrint(c) }) < 0
}

// size returns the resources that one task requests. It rounds up to thousandths of a
// processor, so that a small request does not become zero.
func (j *jobRequest) size() placer.Resources {
	return placer.NewResources(int64(math.Ceil(j.CPU*milliPerCPU)), j.Memory, j.Accelerators)
}

// spec returns the job as the scheduler accepts it. The job must be valid.
func (j *jobRequest) spec(id, team string, now time.Time) placer.JobSpec {
	options := []placer.JobOption{placer.WithSubmittedAt(now), placer.WithConstraints(placer.NewConstraints(j.Rack, j.Spread))}
	if j.Tasks != nil {
		options = append(options, placer.WithTasks(*j.Tasks))
	}
	if j.Name != "" {
		options = append(options, placer.WithName(j.Name))
	}
	if j.Queue != "" {
		options = append(options, placer.WithQueue(j.Queue))
	}
	if class, err := placer.ParseClass(j.Class); err == nil {
		options = append(options, placer.WithClass(class))
	}
	if j.Gang {
		options = append(options, placer.WithGang())
	}
	if j.Idempotent != nil && !*j.Idempotent {
		options = append(options, placer.WithNonIdempotent())
	}
	if j.Estimate != nil {
		options = append(options, placer.WithEstimate(time.Duration(*j.Estimate)))
	}
	if deadline := j.deadline(now); !deadline.IsZero() {
		options = append(options, placer.WithDeadline(deadline))
	}
	return placer.NewJobSpec(id, team, j.size(), options...)
}

// deadline returns the requested deadline, or the zero time if there is none.
func (j *jobRequest) deadline(now time.Time) time.Time {
	switch {
	case j.Deadline != nil:
		return *j.Deadline
	case j.Within != nil:
		return now.Add(time.Duration(*j.Within))
	}
	return time.Time{}
}
