package router_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"filberthaven.example/emulator"
	"filberthaven.example/router"
	qt "github.com/frankban/quicktest"
)

func TestExecutorDies(t *testing.T) {
	c := qt.New(t)
	for _, fault := range []emulator.ExecutorFault{emulator.DropResponse, emulator.TruncateBody} {
		g := newGateway(t)
		bad := g.addExecutor(t, "bad", 8)
		bad.SetFault(fault)
		good := g.addExecutor(t, "good", 8)
		c.Run(fmt.Sprintf("non-idempotent %d", fault), func(c *qt.C) {
			got := g.call(c, "cremona", http.MethodPost, "/v1/services/prenota/book", "slot 9", router.RequestIDHeader, "r1",
				"Idempotency-Key", "k1") // net/http repeats a request with this header by itself.
			assertProblem(c, got, http.StatusBadGateway, "unknown", router.Unknown)
			c.Assert(bad.Runs("r1")+good.Runs("r1"), qt.Equals, 1)
		})
		c.Run(fmt.Sprintf("retry by the caller %d", fault), func(c *qt.C) {
			got := g.call(c, "cremona", http.MethodPost, "/v1/services/prenota/book", "slot 9", router.RequestIDHeader, "r1")
			assertProblem(c, got, http.StatusConflict, "duplicate", router.Unknown)
			c.Assert(bad.Runs("r1")+good.Runs("r1"), qt.Equals, 1)
		})
		c.Run(fmt.Sprintf("idempotent %d", fault), func(c *qt.C) {
			got := g.call(c, "cremona", http.MethodPost, "/v1/services/prenota/book", "slot 9", router.IdempotentHeader, "true")
			assertRan(c, got, "slot 9")
		})
	}
}

func TestDeadConnection(t *testing.T) {
	c := qt.New(t)
	g := newGateway(t)
	e := g.addExecutor(t, "e1", 8)
	for i := range 3 {
		id := fmt.Sprint("r", i)
		e.SetFault(emulator.NoFault)
		assertRan(c, g.call(c, "cremona", http.MethodGet, "/v1/services/prenota/x", ""), "/x\n")
		e.SetFault(emulator.DropResponse) // The gateway sends on the connection of the request before.
		got := g.call(c, "cremona", http.MethodPost, "/v1/services/prenota/book", "", router.RequestIDHeader, id, "Idempotency-Key", id)
		assertProblem(c, got, http.StatusBadGateway, "unknown", router.Unknown)
		c.Assert(e.Runs(id), qt.Equals, 1)
	}
}

func TestUnreachable(t *testing.T) {
	c := qt.New(t)
	g := newGateway(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	c.Assert(listener.Close(), qt.IsNil)
	g.executors = append(g.executors, &testExecutor{Executor: emulator.NewExecutor(), id: "closed", address: address, freeSlots: 8})
	c.Run("alone", func(c *qt.C) {
		got := g.call(c, "cremona", http.MethodPost, "/v1/services/prenota/", "x", router.RequestIDHeader, "r1",
			router.DeadlineHeader, "300")
		c.Assert(got.header.Get(router.OutcomeHeader), qt.Equals, string(router.NotRun), qt.Commentf("%s", got.body))
	})
	c.Run("with another executor", func(c *qt.C) {
		good := g.addExecutor(t, "good", 8)
		assertRan(c, g.call(c, "cremona", http.MethodPost, "/v1/services/prenota/", "x", router.RequestIDHeader, "r1"), "x")
		c.Assert(good.Runs("r1"), qt.Equals, 1)
	})
}

func TestMismatchedResponses(t *testing.T) {
	c := qt.New(t)
	g := newGateway(t)
	e := g.addExecutor(t, "e1", 8)
	assertRan(c, g.call(c, "mantova", http.MethodPost, "/v1/services/prenota/", "of mantova"), "of mantova")
	e.SetFault(emulator.WrongCorrelation)
	got := g.call(c, "cremona", http.MethodPost, "/v1/services/prenota/", "of cremona", router.RequestIDHeader, "r1")
	assertProblem(c, got, http.StatusBadGateway, "unknown", router.Unknown)
	c.Assert(e.Runs("r1"), qt.Equals, 1)
	c.Assert(g.Stats().Mismatched(), qt.Equals, int64(1))
}

func TestLateResponses(t *testing.T) {
	c := qt.New(t)
	g := newGateway(t)
	// The executor echoes each body, for some requests after their deadline.
	e := g.addExecutor(t, "e1", 8)
	e.SetDelay(20 * time.Millisecond)
	var group sync.WaitGroup
	for caller := range 8 {
		group.Go(func() {
			for i := range 20 {
				body := fmt.Sprintf("%d of %d", i, caller)
				remaining := "10000"
				if i%3 == 0 {
					remaining = "18"
				}
				got := g.call(c, "cremona", http.MethodPost, "/v1/services/prenota/", body, router.DeadlineHeader, remaining)
				if got.status == http.StatusOK {
					c.Check(got.body, qt.Equals, body)
					continue
				}
				// A slot stays taken for a short time after a request was aborted.
				if got.status != http.StatusServiceUnavailable {
					c.Check(got.status, qt.Equals, http.StatusGatewayTimeout, qt.Commentf("%s", got.body))
				}
				c.Check(got.header.Get(router.OutcomeHeader), qt.Not(qt.Equals), string(router.Ran))
			}
		})
	}
	group.Wait()
	c.Assert(e.Breaches(), qt.Equals, int64(0))
}

func TestDeadline(t *testing.T) {
	c := qt.New(t)
	g := newGateway(t)
	e := g.addExecutor(t, "e1", 1)
	e.SetFault(emulator.Stall)
	c.Run("executor stalls", func(c *qt.C) {
		got := g.call(c, "cremona", http.MethodPost, "/v1/services/prenota/", "x", router.DeadlineHeader, "50")
		assertProblem(c, got, http.StatusGatewayTimeout, "deadline", router.Unknown)
	})
	c.Run("no slot in time", func(c *qt.C) {
		got := g.call(c, "cremona", http.MethodPost, "/v1/services/prenota/", "x", router.DeadlineHeader, "50")
		c.Assert(got.header.Get(router.OutcomeHeader), qt.Equals, string(router.NotRun))
		c.Assert(e.Received(), qt.Equals, int64(1))
	})
}

func TestSlowUpload(t *testing.T) {
	c := qt.New(t)
	g := newGateway(t)
	g.addExecutor(t, "e1", 8)
	conn, err := net.Dial("tcp", g.server.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/services/public/ HTTP/1.1\r\nHost: x\r\n%s: 100\r\nContent-Length: 1000000\r\n\r\nsome", router.DeadlineHeader)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil) // The upload never completes.
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusGatewayTimeout)
	c.Assert(response.Close, qt.IsTrue)
}

func TestExecutorDiesInUpload(t *testing.T) {
	c := qt.New(t)
	g := newGateway(t)
	g.addExecutor(t, "e1", 8).SetFault(emulator.DropResponse)
	conn, err := net.Dial("tcp", g.server.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	// The response must come before the service's timeout of 10 s.
	fmt.Fprint(conn, "POST /v1/services/public/ HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\nsome")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
	c.Assert(response.Header.Get(router.OutcomeHeader), qt.Equals, string(router.Unknown))
}

func TestFailingExecutor(t *testing.T) {
	c := qt.New(t)
	g := newGateway(t)
	bad := g.addExecutor(t, "bad", 8)
	bad.SetFault(emulator.FailAll)
	g.addExecutor(t, "good", 8)
	ran := 0
	for range 100 {
		if g.call(c, "cremona", http.MethodGet, "/v1/services/prenota/x", "").status == http.StatusOK {
			ran++
		}
	}
	// The bad executor can only be ejected once the good one is known, because at most
	// half of a service may be ejected.
	c.Assert(bad.Received() <= 20, qt.IsTrue, qt.Commentf("%d of 100 to the failing executor, %d ran", bad.Received(), ran))
}
