package router_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"filberthaven.example/authenticator"
	"filberthaven.example/emulator"
	"filberthaven.example/placer"
	"filberthaven.example/router"
	qt "github.com/frankban/quicktest"
)

// gateway is a Router on a loopback server, with fakes of the functions it depends on.
type gateway struct {
	*router.Router
	server       *httptest.Server
	keys         map[string]string // text of the key, by team
	mu           sync.Mutex
	jobs         map[string]router.Job
	claims       map[string]router.Outcome // by request id
	executors    []*testExecutor
	nextExecutor int                                                 // index where the search for a free slot begins
	changed      chan struct{}                                       // closed and replaced when a job changes or a slot becomes free
	peerFunc     func(service string, tried []string) (string, bool) // nil: no peers
}

// testExecutor is an executor with the number of slots that the gateway may still take.
type testExecutor struct {
	*emulator.Executor
	id        string
	address   string
	freeSlots int
}

// newGateway starts a gateway with keys of the teams cremona and mantova. The options
// override its own.
func newGateway(tb testing.TB, options ...router.Option) *gateway {
	tb.Helper()
	c := qt.New(tb)
	g := &gateway{keys: map[string]string{}, jobs: map[string]router.Job{}, claims: map[string]router.Outcome{}, changed: make(chan struct{})}
	keys := map[string]authenticator.Key{}
	for _, team := range []string{"cremona", "mantova"} {
		key, text := authenticator.Generate(team, authenticator.TeamRole)
		keys[key.ID()] = key
		g.keys[team] = text
	}
	a, err := authenticator.New(authenticator.WithLookup(func(id string) (authenticator.Key, bool) {
		key, ok := keys[id]
		return key, ok
	}))
	c.Assert(err, qt.IsNil)
	options = append([]router.Option{
		router.WithAuthenticate(a.Authenticate),
		router.WithJobs(router.Jobs{Submit: g.submit, Get: g.get, List: g.list, Cancel: g.get, Wait: g.wait, Explain: g.explain}),
		router.WithRequests(router.Requests{Acquire: g.acquire, Claim: g.claim, Settle: g.settle, NextPeer: g.nextPeer}),
		router.WithServices(func(name string) (router.Policy, bool) {
			return router.NewPolicy(name == "public", 10*time.Second, 0), name == "prenota" || name == "public"
		}),
		router.WithQueues(func(name string) (bool, bool) { return name == "walkin", name == "walkin" || name == "default" }),
	}, options...)
	g.Router, err = router.New(options...)
	c.Assert(err, qt.IsNil)
	g.server = httptest.NewServer(g.Router)
	tb.Cleanup(g.server.Close)
	return g
}

// addExecutor starts an executor and adds it to the gateway with the given number of
// free slots.
func (g *gateway) addExecutor(tb testing.TB, id string, slots int, options ...emulator.ExecutorOption) *testExecutor {
	tb.Helper()
	e := &testExecutor{Executor: emulator.NewExecutor(options...), id: id, freeSlots: slots}
	server := httptest.NewUnstartedServer(e)
	server.Config.ConnState = e.Server().ConnState
	server.Start()
	tb.Cleanup(server.Close)
	e.address = server.Listener.Addr().String()
	g.executors = append(g.executors, e)
	return e
}

// notifyChanged wakes all waiters. The caller holds mu.
func (g *gateway) notifyChanged() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *gateway) acquire(ctx context.Context, _ string, avoid func(string) bool) (router.Slot, error) {
	for {
		g.mu.Lock()
		changed := g.changed
		for i := range g.executors {
			e := g.executors[(g.nextExecutor+i)%len(g.executors)]
			if e.freeSlots > 0 && !avoid(e.id) {
				e.freeSlots--
				g.nextExecutor++
				g.mu.Unlock()
				return router.NewSlot(e.id, e.address, emulator.DefaultConnections, func() { g.release(e) }), nil
			}
		}
		g.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return router.Slot{}, router.ErrNoSlot
		}
	}
}

func (g *gateway) release(e *testExecutor) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e.freeSlots++
	g.notifyChanged()
}

// claim simulates a store that does not respond or is down for two request ids.
func (g *gateway) claim(ctx context.Context, _, _, request string) (bool, router.Outcome, error) {
	if request == "store-slow" {
		<-ctx.Done()
		return false, "", ctx.Err()
	}
	if request == "store-down" {
		return false, "", router.ErrUnavailable
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if outcome, ok := g.claims[request]; ok {
		return false, outcome, nil
	}
	g.claims[request] = router.Unknown
	return true, "", nil
}

func (g *gateway) settle(_ context.Context, _, _, request string, outcome router.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if outcome == router.NotRun {
		delete(g.claims, request)
		return
	}
	g.claims[request] = outcome
}

func (g *gateway) nextPeer(service string, tried []string) (string, bool) {
	if g.peerFunc == nil {
		return "", false
	}
	return g.peerFunc(service, tried)
}

// submit stores the request id as the state of the job, to find duplicates by it.
func (g *gateway) submit(_ context.Context, spec placer.JobSpec, request string) (string, bool, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if request == "store-down" {
		return "", false, router.ErrUnavailable
	}
	for id, job := range g.jobs {
		if request != "" && job.State() == request {
			return id, true, nil
		}
	}
	g.jobs[spec.ID()] = router.NewJob(spec, request, false, router.NewTaskCounts(spec.Tasks(), 0, 0, 0, 0), "")
	return spec.ID(), false, nil
}

func (g *gateway) get(_ context.Context, team, id string) (router.Job, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	job, ok := g.jobs[id]
	if !ok || job.Spec().Team() != team {
		return router.Job{}, router.ErrNotFound
	}
	return job, nil
}

func (g *gateway) list(_ context.Context, team, after string, limit int) (jobs []router.Job, next string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, job := range g.jobs {
		if job.Spec().Team() == team && id > after {
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, func(a, b router.Job) int { return strings.Compare(a.Spec().ID(), b.Spec().ID()) })
	if len(jobs) > limit {
		return jobs[:limit], jobs[limit-1].Spec().ID(), nil
	}
	return jobs, "", nil
}

func (g *gateway) wait(ctx context.Context, team, id string) (router.Job, error) {
	for {
		g.mu.Lock()
		changed := g.changed
		g.mu.Unlock()
		job, err := g.get(ctx, team, id)
		if err != nil || job.Terminal() {
			return job, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return job, nil
		}
	}
}

func (g *gateway) finish(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	spec := g.jobs[id].Spec()
	g.jobs[id] = router.NewJob(spec, "done", true, router.NewTaskCounts(0, 0, spec.Tasks(), 0, 0), "")
	g.notifyChanged()
}

func (g *gateway) explain(ctx context.Context, team, id string) (string, error) {
	_, err := g.get(ctx, team, id)
	return "it waits for free capacity", err
}

// apiResponse is a response as the caller received it.
type apiResponse struct {
	status    int
	header    http.Header
	body      string
	truncated bool // the body ended early
}

// call sends a request with the key of a team, or without one if team is empty. header
// alternates names and values.
func (g *gateway) call(c *qt.C, team, method, path, body string, header ...string) apiResponse {
	request, err := http.NewRequestWithContext(c.Context(), method, g.server.URL+path, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	if team != "" {
		request.Header.Set("Authorization", "Bearer "+g.keys[team])
	}
	if strings.HasPrefix(path, "/v1/jobs") && body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		c.Assert(errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue, qt.Commentf("%v", err))
	}
	return apiResponse{status: response.StatusCode, header: response.Header, body: string(data), truncated: err != nil}
}

// assertProblem checks that got is a problem document with this status, code and
// outcome.
func assertProblem(c *qt.C, got apiResponse, status int, code string, outcome router.Outcome) {
	c.Helper()
	c.Assert(got.status, qt.Equals, status, qt.Commentf("%s", got.body))
	c.Assert(got.header.Get("Content-Type"), qt.Equals, "application/problem+json")
	c.Assert(got.body, qt.Contains, `"code":"`+code+`"`)
	c.Assert(got.header.Get(router.OutcomeHeader), qt.Equals, string(outcome))
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		c.Assert(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	}
}
