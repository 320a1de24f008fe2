package main_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	callTimeout   = 5 * time.Second
	retryInterval = 100 * time.Millisecond
)

// apiResponse is a response of the API for callers.
type apiResponse struct {
	status  int
	outcome string // value of the Filberthaven-Outcome header
	body    []byte
}

// url returns the base URL of an entry VM's API for callers.
func (p *processes) url(e *entry) string {
	if p.tlsFiles != nil {
		return "https://" + e.listen
	}
	return "http://" + e.listen
}

// call sends a request to an entry VM and returns its response. An empty request id is not
// sent.
func (p *processes) call(ctx context.Context, e *entry, method, path, key, request, body string) (apiResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	message, err := http.NewRequestWithContext(ctx, method, p.url(e)+path, strings.NewReader(body))
	if err != nil {
		return apiResponse{}, err
	}
	message.Header.Set("Authorization", "Bearer "+key)
	message.Header.Set("Content-Type", "application/json")
	if request != "" {
		message.Header.Set("Filberthaven-Request", request)
	}
	response, err := p.client.Do(message)
	if err != nil {
		return apiResponse{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return apiResponse{status: response.StatusCode, outcome: response.Header.Get("Filberthaven-Outcome"), body: data}, err
}

// load submits jobs and sends non-idempotent urgent requests until it is stopped.
type load struct {
	p        *processes
	cancel   context.CancelFunc
	group    sync.WaitGroup
	sequence atomic.Int64 // last number drawn for ids
	mu       sync.Mutex
	accepted map[string]bool // ids of accepted jobs
	counts   map[string]int  // responses to urgent requests by outcome, or error without one
}

// startLoad starts a load: submitters is the number of goroutines that submit jobs, and
// senders that of goroutines that send urgent requests.
func (p *processes) startLoad(submitters, senders int) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{p: p, cancel: cancel, accepted: map[string]bool{}, counts: map[string]int{}}
	for range submitters {
		l.group.Go(func() { l.submit(ctx) })
	}
	for range senders {
		l.group.Go(func() { l.send(ctx) })
	}
	p.c.Cleanup(l.stop)
	return l
}

// stop stops the load and waits for calls in flight.
func (l *load) stop() {
	l.cancel()
	l.group.Wait()
}

// any returns a random entry VM, which may be down, as a balancer without health checks
// does.
func (l *load) any() *entry { return l.p.entries[rand.IntN(len(l.p.entries))] }

// submit submits jobs one after another. Retries of a job go to random entry VMs with the
// same request id.
func (l *load) submit(ctx context.Context) {
	for ctx.Err() == nil {
		idempotent := l.sequence.Add(1)%3 != 0
		body := fmt.Sprintf(`{"name":"load","tasks":8,"cpu":2,"memory":256,"class":"deferred","estimate":"400ms","idempotent":%v,"request":"job-%d"}`,
			idempotent, l.sequence.Add(1))
		for ctx.Err() == nil && !l.submitOnce(body) {
			time.Sleep(retryInterval)
		}
		time.Sleep(retryInterval / 2)
	}
}

// submitOnce submits a job and reports whether the response is final: any status below 500
// except 429.
func (l *load) submitOnce(body string) bool {
	response, err := l.p.call(context.Background(), l.any(), http.MethodPost, "/v1/jobs", l.p.fleet.Keys().Team(), "", body)
	if err != nil || response.status >= http.StatusInternalServerError || response.status == http.StatusTooManyRequests {
		return false
	}
	var accepted struct{ ID string }
	if json.Unmarshal(response.body, &accepted) == nil && accepted.ID != "" {
		l.mu.Lock()
		l.accepted[accepted.ID] = true
		l.mu.Unlock()
	}
	return true
}

// send sends urgent requests that must not run twice. A request that does not succeed is
// sent up to three times with the same id.
func (l *load) send(ctx context.Context) {
	for ctx.Err() == nil {
		id := fmt.Sprintf("urgent-%d", l.sequence.Add(1))
		for range 3 {
			response, err := l.p.call(context.Background(), l.any(), http.MethodPost, "/v1/services/echo/book", l.p.fleet.Keys().Team(), id, id)
			if err != nil {
				l.count("error")
				continue
			}
			l.count(response.outcome)
			if response.status == http.StatusOK {
				l.p.c.Check(string(response.body), qt.Equals, id)
				break
			}
			time.Sleep(retryInterval)
		}
		time.Sleep(retryInterval / 10)
	}
}

// count counts a response to an urgent request.
func (l *load) count(outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[outcome]++
}

// jobs returns the ids of the accepted jobs.
func (l *load) jobs() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	ids := make([]string, 0, len(l.accepted))
	for id := range l.accepted {
		ids = append(ids, id)
	}
	return ids
}
