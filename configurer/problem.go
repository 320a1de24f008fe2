package configurer

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"

	"filberthaven.example/keeper"
	"filberthaven.example/loader"
)

// problem is an error in the form of application/problem+json.
type problem struct {
	Type   string         `json:"type"`
	Title  string         `json:"title"`
	Status int            `json:"status"`
	Detail string         `json:"detail"`
	Faults []problemFault `json:"faults,omitempty"`
}

// problemFault is one fault of the declarations.
type problemFault struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Detail  string `json:"detail"`
}

// Errors of the operators' API besides those of the Writer.
var (
	// ErrDenied means that the key does not permit the call.
	ErrDenied = errors.New("not permitted")
	// ErrRequest means that a request is malformed.
	ErrRequest = errors.New("bad request")
	// ErrRefused means that the declarations have faults. Nothing was written.
	ErrRefused = errors.New("refused")
)

// problemKind maps an error to the problem that the API responds with.
type problemKind struct {
	err    error
	name   string
	status int
	title  string
}

// problemKinds are tried in order. keeper.ErrOutcomeUnknown comes first, since it may be
// joined with errors whose titles say that nothing was changed.
var problemKinds = []problemKind{
	{keeper.ErrOutcomeUnknown, "unknown", http.StatusGatewayTimeout, "The outcome is unknown; see the history."},
	{ErrDenied, "denied", http.StatusForbidden, "The key doesn't permit this."},
	{ErrConflict, "raced", http.StatusConflict, "Another change came first; nothing was changed."},
	{ErrNoRevision, "norevision", http.StatusNotFound, "There is no such revision."},
	{ErrNewer, "newer", http.StatusConflict, "A newer version wrote the declarations; nothing was changed."},
	{ErrRequest, "request", http.StatusBadRequest, "The request has the wrong form; nothing was changed."},
	{ErrRefused, "refused", http.StatusUnprocessableEntity, "The declarations are refused; nothing was changed."},
	{keeper.ErrTooLarge, "toolarge", http.StatusRequestEntityTooLarge, "The declarations are too large; nothing was changed."},
	{keeper.ErrUnavailable, "unavailable", http.StatusServiceUnavailable, "The key-value service is down; nothing was changed."},
}

// newProblem returns the problem that the API responds with to an error.
func newProblem(err error) problem {
	var faults loader.Errors
	if errors.As(err, &faults) && !errors.Is(err, keeper.ErrOutcomeUnknown) {
		err = errors.Join(ErrRefused, faults)
	}
	p := problem{Type: "about:blank", Title: "The call failed.", Status: http.StatusInternalServerError, Detail: err.Error()}
	for _, kind := range problemKinds {
		if errors.Is(err, kind.err) {
			p.Type, p.Title, p.Status = kind.name, kind.title, kind.status
			break
		}
	}
	for _, fault := range faults {
		p.Faults = append(p.Faults, problemFault{
			File: fault.File(), Line: fault.Line(), Section: fault.Section(), Key: fault.Key(), Detail: fault.Unwrap().Error(),
		})
	}
	return p
}

// err returns the error for the client's caller. It wraps the error that the type of the
// problem stands for.
func (p problem) err() error {
	for _, kind := range problemKinds {
		if kind.name == p.Type {
			return &apiError{kind: kind.err, problem: p}
		}
	}
	// The callers' API refused the key before the request reached the operators' API.
	if p.Status == http.StatusUnauthorized || p.Status == http.StatusForbidden || p.Status == http.StatusTooManyRequests {
		return &apiError{kind: ErrDenied, problem: p}
	}
	return &apiError{kind: errors.New(p.Title), problem: p}
}

// apiError is the error of a call that the API responded to with a problem.
type apiError struct {
	kind    error // wrapped, for errors.Is
	problem problem
}

// Error returns the title and the faults, one a line, or the detail if there are none.
func (e *apiError) Error() string {
	if len(e.problem.Faults) == 0 {
		return e.problem.Detail
	}
	return e.problem.Title + "\n" + e.faults().Error()
}

func (e *apiError) Unwrap() error { return e.kind }

// faults returns the faults as errors of the loader.
func (e *apiError) faults() loader.Errors {
	faults := make(loader.Errors, len(e.problem.Faults))
	for i, f := range e.problem.Faults {
		faults[i] = loader.NewErrorAt(f.File, f.Line, f.Section, f.Key, errors.New(f.Detail))
	}
	return faults
}

// write sends the problem as the response.
func (p problem) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/problem+json")
	if p.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // fails only if the caller has gone
}

// ProblemTypes returns the types of the operators' API's problems, sorted.
func ProblemTypes() []string {
	types := make([]string, 0, len(problemKinds))
	for _, kind := range problemKinds {
		types = append(types, kind.name)
	}
	slices.Sort(types)
	return types
}
