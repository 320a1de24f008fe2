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
	callTimeout = 5 * time.Second
	retryPause  = 100 * time.Millisecond
)

// reply is an answer of the callers' API.
type reply struct {
	status  int
	outcome string
	body    []byte
}

// url returns the base URL of an entry VM's API for callers.
func (p *processes) url(e *entry) string {
	if p.secure != nil {
		return "https://" + e.listen
	}
	return "http://" + e.listen
}

// call calls an entry VM.
func (p *processes) call(ctx context.Context, e *entry, method, path, key, request, body string) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	message, err := http.NewRequestWithContext(ctx, method, p.url(e)+path, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	message.Header.Set("Authorization", "Bearer "+key)
	message.Header.Set("Content-Type", "application/json")
	if request != "" {
		message.Header.Set("Filberthaven-Request", request)
	}
	response, err := p.client.Do(message)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, outcome: response.Header.Get("Filberthaven-Outcome"), body: data}, err
}

// load submits jobs and sends non-idempotent urgent requests until it is stopped.
type load struct {
	p        *processes
	cancel   context.CancelFunc
	group    sync.WaitGroup
	number   atomic.Int64
	mu       sync.Mutex
	accepted map[string]bool // ids of jobs
	counts   map[string]int  // answers to urgent requests by outcome
}

// startLoad starts that many submitters of jobs and senders of requests.
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

// stop ends the load and waits for calls under way.
func (l *load) stop() {
	l.cancel()
	l.group.Wait()
}

// any returns some entry VM, as a balancer without health checks would.
func (l *load) any() *entry { return l.p.entries[rand.IntN(len(l.p.entries))] }

// submit submits one job after the other, each with a request id that is kept
// over retries through other entry VMs.
func (l *load) submit(ctx context.Context) {
	for ctx.Err() == nil {
		idempotent := l.number.Add(1)%3 != 0
		body := fmt.Sprintf(`{"name":"load","tasks":8,"cpu":2,"memory":256,"class":"deferred","estimate":"400ms","idempotent":%v,"request":"job-%d"}`,
			idempotent, l.number.Add(1))
		for ctx.Err() == nil && !l.submitOnce(body) {
			time.Sleep(retryPause)
		}
		time.Sleep(retryPause / 2)
	}
}

// submitOnce submits a job and reports whether the answer was final.
func (l *load) submitOnce(body string) bool {
	answer, err := l.p.call(context.Background(), l.any(), http.MethodPost, "/v1/jobs", l.p.fleet.Keys().Team(), "", body)
	if err != nil || answer.status >= http.StatusInternalServerError || answer.status == http.StatusTooManyRequests {
		return false
	}
	var accepted struct{ ID string }
	if json.Unmarshal(answer.body, &accepted) == nil && accepted.ID != "" {
		l.mu.Lock()
		l.accepted[accepted.ID] = true
		l.mu.Unlock()
	}
	return true
}

// send sends urgent requests that must not run twice; one without a final
// answer is tried again with the same id.
func (l *load) send(ctx context.Context) {
	for ctx.Err() == nil {
		id := fmt.Sprintf("urgent-%d", l.number.Add(1))
		for range 3 {
			answer, err := l.p.call(context.Background(), l.any(), http.MethodPost, "/v1/services/echo/book", l.p.fleet.Keys().Team(), id, id)
			if err != nil {
				l.count("error")
				continue
			}
			l.count(answer.outcome)
			if answer.status == http.StatusOK {
				l.p.c.Check(string(answer.body), qt.Equals, id)
				break
			}
			time.Sleep(retryPause)
		}
		time.Sleep(retryPause / 10)
	}
}

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
