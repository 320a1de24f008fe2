package router_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"filberthaven.example/emulator"
	"filberthaven.example/granter"
	"filberthaven.example/messenger"
	"filberthaven.example/router"
	qt "github.com/frankban/quicktest"
)

// dataCentre simulates a data centre over TCP: entry VMs that share executors, with
// one owner that grants the slots.
type dataCentre struct {
	entries   []*gateway
	pools     []*granter.SlotPool
	executors []*testExecutor
}

// newDataCentre starts a data centre and waits until all slots are granted.
func newDataCentre(t *testing.T, entries, executors int) *dataCentre {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	d := &dataCentre{}
	var list []granter.Executor
	for i := range executors {
		g := &gateway{}
		e := g.addExecutor(t, fmt.Sprint("e", i), 0, emulator.WithDelay(3*time.Millisecond))
		d.executors = append(d.executors, e)
		list = append(list, granter.NewExecutor(e.id, "prenota", e.address, emulator.DefaultSlots, emulator.DefaultConnections, false))
	}
	m, err := messenger.New()
	c.Assert(err, qt.IsNil)
	owner, err := granter.NewSlotAllocator(granter.WithExecutors(func() []granter.Executor { return list }))
	c.Assert(err, qt.IsNil)
	c.Assert(owner.Begin(1, nil), qt.IsNil)
	mux := http.NewServeMux()
	owner.Register(m, mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	for i := range entries {
		d.startEntry(ctx, t, m, server.Listener.Addr().String(), fmt.Sprint("entry-", i))
	}
	for d.granted() < executors*emulator.DefaultSlots {
		time.Sleep(time.Millisecond)
	}
	return d
}

// startEntry starts one entry VM.
func (d *dataCentre) startEntry(ctx context.Context, t *testing.T, m *messenger.Messenger, owner, id string) {
	pool, err := granter.NewSlotPool(granter.WithIdentity(id, 1), granter.WithMessenger(m),
		granter.WithOwner(func() (string, bool) { return owner, true }))
	qt.New(t).Assert(err, qt.IsNil)
	go func() { _ = pool.Run(ctx) }()
	acquire := func(ctx context.Context, service string, avoid func(string) bool) (router.Slot, error) {
		slot, err := pool.Acquire(ctx, service, avoid)
		if errors.Is(err, granter.ErrNoSlot) {
			return router.Slot{}, router.ErrNoSlot
		}
		return router.NewSlot(slot.Executor(), slot.Address(), slot.Connections(), slot.Release), err
	}
	d.pools = append(d.pools, pool)
	d.entries = append(d.entries, newGateway(t, router.WithRequests(router.Requests{Acquire: acquire})))
}

// granted returns the number of slots granted to all entry VMs together.
func (d *dataCentre) granted() int {
	sum := 0
	for _, pool := range d.pools {
		granted, _, _ := pool.Load("prenota")
		sum += granted
	}
	return sum
}

// TestSharedExecutors checks that entry VMs together never send an executor more
// requests than it has slots, while the load moves between them and requests time out.
func TestSharedExecutors(t *testing.T) {
	c := qt.New(t)
	d := newDataCentre(t, 3, 4)
	var callers sync.WaitGroup
	for caller := range 48 {
		callers.Go(func() {
			// Each caller moves from one entry VM to the next after 20 requests.
			for i := range 60 {
				g := d.entries[(caller/24+i/20)%len(d.entries)]
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				if i%7 == 0 { // Some requests time out early.
					cancel()
					ctx, cancel = context.WithTimeout(t.Context(), 4*time.Millisecond)
				}
				body := fmt.Sprintf("%d of %d", i, caller)
				status, echoed := post(ctx, g, body)
				cancel()
				if status == http.StatusOK {
					c.Check(echoed, qt.Equals, body)
				}
			}
		})
	}
	callers.Wait()
	served := int64(0)
	for _, e := range d.executors {
		c.Check(e.Breaches(), qt.Equals, int64(0), qt.Commentf("%s: at most %d requests at once", e.id, e.Peak()))
		served += e.Received()
	}
	c.Assert(served > 0, qt.IsTrue)
}

// post sends a body to the service and returns the response, or status 0 if there is
// none.
func post(ctx context.Context, g *gateway, body string) (status int, echoed string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, g.server.URL+"/v1/services/prenota/", strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Header.Set("Authorization", "Bearer "+g.keys["cremona"])
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(data)
}
