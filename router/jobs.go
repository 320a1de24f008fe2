package router

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"filberthaven.example/authenticator"
	"github.com/go-chi/chi/v5"
)

// Limits and defaults of job queries.
const (
	defaultPageSize = 100
	maxPageSize     = 1000 // jobs in one response
	defaultWait     = 30 * time.Second
	maxWait         = time.Minute // of one long poll; the caller then polls again
)

// acceptedBody is the response to an accepted job.
type acceptedBody struct {
	ID        string `json:"id"`
	Duplicate bool   `json:"duplicate"`
}

// listBody is one page of jobs.
type listBody struct {
	Jobs []jobBody `json:"jobs"`
	Next string    `json:"next,omitempty"` // value of the parameter "after" for the next page; absent on the last page
}

// explainBody is the response that explains the state of a job.
type explainBody struct {
	ID     string `json:"id"`
	Reason string `json:"reason"`
}

// teamOf returns the team of the caller. It returns AnonymousTeam for a request without
// a key if open is set. A key that is sent must be valid even then.
func (r *Router) teamOf(request *http.Request, open bool) (string, error) {
	principal, err := r.authenticate(request)
	if errors.Is(err, authenticator.ErrNoKey) && open {
		return AnonymousTeam, nil
	}
	if err != nil {
		return "", err
	}
	if err := principal.Require(authenticator.TeamRole); err != nil {
		return "", err
	}
	return principal.Team(), nil
}

// submitJob serves POST /v1/jobs.
func (r *Router) submitJob(w http.ResponseWriter, request *http.Request) {
	accepted, err := r.acceptJob(w, request)
	if err != nil {
		r.refuseJob(w, err)
		return
	}
	status := http.StatusAccepted
	if accepted.Duplicate {
		status = http.StatusOK
	}
	w.Header().Set("Location", "/v1/jobs/"+accepted.ID)
	writeJSON(w, status, accepted)
}

// refuseJob sends the problem for an error of acceptJob.
func (r *Router) refuseJob(w http.ResponseWriter, err error) {
	problem := problemOf(err)
	r.logger.Info("job refused", "code", problem.code, "outcome", problem.outcome, "reason", err)
	problem.write(w)
}

// acceptJob validates a job and submits it.
func (r *Router) acceptJob(w http.ResponseWriter, request *http.Request) (acceptedBody, error) {
	// The key is checked first, so that a request with a wrong key has no body parsed.
	team, err := r.teamOf(request, true)
	if err != nil {
		return acceptedBody{}, err
	}
	job, err := readJob(w, request)
	if err != nil {
		return acceptedBody{}, err
	}
	spec := job.spec(r.newID(), team, r.now())
	open, known := r.queue(spec.Queue())
	if team == AnonymousTeam && !open {
		return acceptedBody{}, authenticator.ErrNoKey
	}
	if !known {
		return acceptedBody{}, NewProblem(http.StatusUnprocessableEntity, "queue", "there is no such queue")
	}
	if r.checkJob != nil {
		if err := r.checkJob(spec); err != nil {
			return acceptedBody{}, err
		}
	}
	id, duplicate, err := r.jobs.Submit(request.Context(), spec, job.Request)
	if err != nil {
		return acceptedBody{}, err
	}
	r.logger.Info("job accepted", "job", id, "team", team, "queue", spec.Queue(), "class", spec.Class(),
		"tasks", spec.Tasks(), "duplicate", duplicate)
	return acceptedBody{ID: id, Duplicate: duplicate}, nil
}

// getJob serves GET /v1/jobs/{id}.
func (r *Router) getJob(w http.ResponseWriter, request *http.Request) {
	r.serveJob(w, request, http.StatusOK, r.jobs.Get)
}

// cancelJob serves DELETE /v1/jobs/{id}.
func (r *Router) cancelJob(w http.ResponseWriter, request *http.Request) {
	r.serveJob(w, request, http.StatusAccepted, r.jobs.Cancel)
}

// serveJob sends the job that call returns for the caller's team and the id in the path.
func (r *Router) serveJob(w http.ResponseWriter, request *http.Request, status int,
	call func(ctx context.Context, team, id string) (Job, error),
) {
	team, err := r.teamOf(request, true)
	if err != nil {
		problemOf(err).write(w)
		return
	}
	job, err := call(request.Context(), team, chi.URLParam(request, "id"))
	if err != nil {
		problemOf(err).write(w)
		return
	}
	writeJSON(w, status, job.body())
}

// listJobs serves GET /v1/jobs.
func (r *Router) listJobs(w http.ResponseWriter, request *http.Request) {
	team, err := r.teamOf(request, false)
	if err != nil {
		problemOf(err).write(w)
		return
	}
	query := request.URL.Query()
	limit, err := parsePageSize(query.Get("limit"), defaultPageSize, maxPageSize)
	if err != nil {
		problemOf(err).write(w)
		return
	}
	jobs, next, err := r.jobs.List(request.Context(), team, query.Get("after"), limit)
	if err != nil {
		problemOf(err).write(w)
		return
	}
	body := listBody{Jobs: make([]jobBody, 0, len(jobs)), Next: next}
	for _, job := range jobs {
		body.Jobs = append(body.Jobs, job.body())
	}
	writeJSON(w, http.StatusOK, body)
}

// parsePageSize parses the parameter "limit", which must be from 1 to maximum. It
// returns fallback for an empty text.
func parsePageSize(text string, fallback, maximum int) (int, error) {
	if text == "" {
		return fallback, nil
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < 1 || value > maximum {
		return 0, NewProblem(http.StatusBadRequest, "parameter", "limit must be from 1 to "+strconv.Itoa(maximum))
	}
	return value, nil
}

// waitJob serves GET /v1/jobs/{id}/wait. At the timeout it sends the job in its current
// state, so a caller polls, through any entry VM, until the job is terminal.
func (r *Router) waitJob(w http.ResponseWriter, request *http.Request) {
	timeout := defaultWait
	if text := request.URL.Query().Get("timeout"); text != "" {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed < 0 {
			NewProblem(http.StatusBadRequest, "parameter", `timeout must be a duration such as "20s"`).write(w)
			return
		}
		timeout = min(parsed, maxWait)
	}
	r.serveJob(w, request, http.StatusOK, func(ctx context.Context, team, id string) (Job, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		stop := r.inFlight.onClose(cancel)
		defer stop()
		return r.jobs.Wait(ctx, team, id)
	})
}

// explainJob serves GET /v1/jobs/{id}/explain.
func (r *Router) explainJob(w http.ResponseWriter, request *http.Request) {
	team, err := r.teamOf(request, true)
	if err != nil {
		problemOf(err).write(w)
		return
	}
	id := chi.URLParam(request, "id")
	reason, err := r.jobs.Explain(request.Context(), team, id)
	if err != nil {
		problemOf(err).write(w)
		return
	}
	writeJSON(w, http.StatusOK, explainBody{ID: id, Reason: reason})
}
