package router_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"filberthaven.example/emulator"
	"filberthaven.example/router"
	qt "github.com/frankban/quicktest"
)

// timedOutReader is a body whose reads exceed their deadline.
type timedOutReader struct{}

func (timedOutReader) Read([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

// assertRan checks that got is the response of an executor with this body.
func assertRan(c *qt.C, got apiResponse, body string) {
	c.Helper()
	c.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
	c.Assert(got.header.Get(router.OutcomeHeader), qt.Equals, "ran")
	c.Assert(got.body, qt.Equals, body)
}

func TestRequest(t *testing.T) {
	c := qt.New(t)
	g := newGateway(t)
	var seen *http.Request
	g.addExecutor(t, "e1", 8, emulator.WithHandler(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		seen = request
		w.Header().Set("Connection", "X-Secret")
		w.Header().Set("X-Secret", "1")
		w.Header().Set("X-Kept", "2")
		w.Header().Set(router.OutcomeHeader, "forged")
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.Copy(w, request.Body)
	})))
	got := g.call(c, "cremona", http.MethodPost, "/v1/services/prenota/a%2Fb/../c?x=1&y=%20", "maize",
		"Connection", "X-Hop", "X-Hop", "1", "X-End", "2", "Filberthaven-Team", "mantova", "Filberthaven-Deadline", "5000")

	c.Run("answer", func(c *qt.C) {
		c.Assert(got.status, qt.Equals, http.StatusTeapot)
		c.Assert(got.body, qt.Equals, "maize")
		c.Assert(got.header.Get("X-Kept"), qt.Equals, "2")
		c.Assert(got.header.Get("X-Secret"), qt.Equals, "")
		c.Assert(got.header[router.OutcomeHeader], qt.DeepEquals, []string{"ran"})
		c.Assert(got.header.Get(router.CorrelationHeader), qt.Equals, "")
	})
	c.Run("request", func(c *qt.C) {
		c.Assert(seen.URL.EscapedPath(), qt.Equals, "/a%2Fb/../c")
		c.Assert(seen.URL.RawQuery, qt.Equals, "x=1&y=%20")
		c.Assert(seen.Header.Get("X-Hop"), qt.Equals, "")
		c.Assert(seen.Header.Get("X-End"), qt.Equals, "2")
		c.Assert(seen.Header.Get("Authorization"), qt.Equals, "")
		c.Assert(seen.Header[router.TeamHeader], qt.DeepEquals, []string{"cremona"})
		c.Assert(seen.Header.Get(router.DeadlineHeader), qt.Matches, "4[0-9]{3}|5000")
	})
}

func TestRequestRefused(t *testing.T) {
	c := qt.New(t)
	g := newGateway(t)
	e := g.addExecutor(t, "e1", 8)
	for _, test := range []struct {
		name, team, method, path string
		header                   []string
		status                   int
		code                     string
	}{
		{"no key", "", "GET", "/v1/services/prenota/", nil, 401, "key"},
		{"no key, unknown service", "", "GET", "/v1/services/absent/", nil, 401, "key"},
		{"wrong key", "nobody", "GET", "/v1/services/public/", nil, 401, "key"},
		{"no service", "cremona", "GET", "/v1/services/absent/", nil, 404, "absent"},
		{"deadline passed", "cremona", "GET", "/v1/services/prenota/", []string{router.DeadlineHeader, "0"}, 504, "deadline"},
		{"deadline not a number", "cremona", "GET", "/v1/services/prenota/", []string{router.DeadlineHeader, "soon"}, 400, "deadline"},
		{"long id", "cremona", "POST", "/v1/services/prenota/", []string{router.RequestIDHeader, strings.Repeat("a", 129)}, 400, "request"},
		{"trace", "cremona", "TRACE", "/v1/services/prenota/", nil, 405, "method"},
		{"unknown path", "cremona", "GET", "/v2/services", nil, 404, "absent"},
	} {
		c.Run(test.name, func(c *qt.C) {
			assertProblem(c, g.call(c, test.team, test.method, test.path, "", test.header...), test.status, test.code, router.NotRun)
			c.Assert(e.Received(), qt.Equals, int64(0))
		})
	}
	c.Run("open service needs no key", func(c *qt.C) {
		assertRan(c, g.call(c, "", "GET", "/v1/services/public/x", ""), "/x\n")
	})
}

func TestLargeBodies(t *testing.T) {
	c := qt.New(t)
	g := newGateway(t)
	g.addExecutor(t, "e1", 8)
	body := strings.Repeat("0123456789abcdef", 1<<19)
	got := g.call(c, "cremona", http.MethodPut, "/v1/services/prenota/plan", body)
	c.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%.200s", got.body))
	c.Assert(got.truncated, qt.IsFalse)
	c.Assert(got.body == body, qt.IsTrue)
}

func TestEmptyResponses(t *testing.T) {
	c := qt.New(t)
	g := newGateway(t)
	g.addExecutor(t, "e1", 8, emulator.WithHandler(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/none" {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		w.Header().Set("Content-Length", "1000")
	})))
	c.Run("no content", func(c *qt.C) {
		got := g.call(c, "cremona", http.MethodDelete, "/v1/services/prenota/none", "")
		c.Assert(got.status, qt.Equals, http.StatusNoContent)
		c.Assert(got.header["Content-Length"], qt.IsNil)
	})
	c.Run("head", func(c *qt.C) {
		got := g.call(c, "cremona", http.MethodHead, "/v1/services/prenota/x", "")
		c.Assert(got.status, qt.Equals, http.StatusOK)
		c.Assert(got.header.Get("Content-Length"), qt.Equals, "1000")
	})
}

func TestBodyOverLimit(t *testing.T) {
	c := qt.New(t)
	g := newGateway(t, router.WithServices(func(string) (router.Policy, bool) { return router.NewPolicy(false, 0, 1000), true }))
	e := g.addExecutor(t, "e1", 8)
	assertProblem(c, g.call(c, "cremona", http.MethodPost, "/v1/services/prenota/", strings.Repeat("a", 1001)), 413, "large", router.NotRun)
	c.Assert(e.Received(), qt.Equals, int64(0))
}

func TestStreaming(t *testing.T) {
	c := qt.New(t)
	g := newGateway(t)
	next := make(chan struct{})
	g.addExecutor(t, "e1", 8, emulator.WithHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Trailer", "X-Sum")
		for i := range 3 {
			fmt.Fprintf(w, "part %d\n", i)
			_ = http.NewResponseController(w).Flush()
			<-next
		}
		w.Header().Set("X-Sum", "7")
	})))
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, g.server.URL+"/v1/services/public/feed", http.NoBody)
	c.Assert(err, qt.IsNil)
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	lines := bufio.NewReader(response.Body)
	for i := range 3 {
		line, err := lines.ReadString('\n') // Each part arrives before the next is sent.
		c.Assert(err, qt.IsNil)
		c.Assert(line, qt.Equals, fmt.Sprintf("part %d\n", i))
		next <- struct{}{}
	}
	_, err = lines.ReadByte()
	c.Assert(err, qt.Equals, io.EOF)
	c.Assert(response.Trailer.Get("X-Sum"), qt.Equals, "7")
}

func TestClaim(t *testing.T) {
	c := qt.New(t)
	g := newGateway(t)
	e := g.addExecutor(t, "e1", 8)
	c.Run("not recorded", func(c *qt.C) {
		got := g.call(c, "cremona", http.MethodPost, "/v1/services/prenota/", "x", router.RequestIDHeader, "store-down")
		assertProblem(c, got, http.StatusServiceUnavailable, "unavailable", router.NotRun)
	})
	c.Run("may be recorded", func(c *qt.C) {
		got := g.call(c, "cremona", http.MethodPost, "/v1/services/prenota/", "x", router.RequestIDHeader, "store-slow", router.DeadlineHeader, "50")
		assertProblem(c, got, http.StatusGatewayTimeout, "deadline", router.Unknown)
	})
	c.Assert(e.Received(), qt.Equals, int64(0))
	c.Run("idempotent requests need no record", func(c *qt.C) {
		assertRan(c, g.call(c, "cremona", http.MethodPut, "/v1/services/prenota/", "x", router.RequestIDHeader, "store-down"), "x")
	})
}

func TestSmuggling(t *testing.T) {
	c := qt.New(t)
	g := newGateway(t)
	e := g.addExecutor(t, "e1", 8)
	inner := "GET /v1/services/public/inner HTTP/1.1\r\nHost: x\r\n\r\n"
	for name, head := range map[string]string{
		"two lengths":        "Content-Length: 0\r\nContent-Length: 40\r\n",
		"odd coding":         "Transfer-Encoding: xchunked\r\n",
		"space before colon": "Transfer-Encoding : chunked\r\n",
		"length with sign":   "Content-Length: +40\r\n",
	} {
		c.Run(name, func(c *qt.C) {
			conn, err := net.Dial("tcp", g.server.Listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			fmt.Fprintf(conn, "POST /v1/services/public/outer HTTP/1.1\r\nHost: x\r\n%s\r\n%s", head, inner)
			all, _ := io.ReadAll(conn)
			c.Assert(bytes.Count(all, []byte("HTTP/1.1 ")), qt.Equals, 1, qt.Commentf("%s", all))
			c.Assert(string(all), qt.Matches, "HTTP/1.1 (400|501) (?s:.*)")
			c.Assert(e.Received(), qt.Equals, int64(0))
		})
	}
}

func TestForward(t *testing.T) {
	c := qt.New(t)
	near, far := newGateway(t, router.WithCentre("pianura-a")), newGateway(t, router.WithCentre("pianura-b"))
	far.keys = near.keys
	e := far.addExecutor(t, "e1", 8)
	address := far.server.Listener.Addr().String()
	near.peerFunc = func(_ string, tried []string) (string, bool) { return address, len(tried) == 0 }
	far.peerFunc = func(string, []string) (string, bool) { return near.server.Listener.Addr().String(), true }

	c.Run("key of the receiving entry VM is needed", func(c *qt.C) {
		got := near.call(c, "cremona", http.MethodPost, "/v1/services/prenota/x", "maize")
		c.Assert(got.status, qt.Equals, http.StatusUnauthorized)
	})
	c.Run("response comes back", func(c *qt.C) {
		got := near.call(c, "", http.MethodPost, "/v1/services/public/x?y=1", "maize", router.RequestIDHeader, "r1")
		assertRan(c, got, "maize")
		c.Assert(e.Runs("r1"), qt.Equals, 1)
		c.Assert(far.claims["r1"], qt.Equals, router.Ran)
	})
	c.Run("unknown outcome comes back", func(c *qt.C) {
		e.SetFault(emulator.DropResponse)
		got := near.call(c, "", http.MethodPost, "/v1/services/public/x", "maize", router.RequestIDHeader, "r2")
		assertProblem(c, got, http.StatusBadGateway, "unknown", router.Unknown)
		c.Assert(e.Runs("r2"), qt.Equals, 1)
	})
	c.Run("no slot elsewhere, then one here", func(c *qt.C) {
		e.SetFault(emulator.NoFault)
		far.executors = nil
		local := near.addExecutor(t, "local", 0)
		release := time.AfterFunc(4*router.DefaultSlotWait, func() { near.release(local) })
		defer release.Stop()
		assertRan(c, near.call(c, "", http.MethodPost, "/v1/services/public/x", "maize"), "maize")
	})
	c.Run("no slot anywhere", func(c *qt.C) {
		near.executors = nil
		got := near.call(c, "", http.MethodPost, "/v1/services/public/x", "maize")
		assertProblem(c, got, http.StatusServiceUnavailable, "room", router.NotRun)
	})
}

// FuzzPath checks that an executor receives a caller's path and query unchanged, or that
// the request is refused and no executor receives it.
func FuzzPath(f *testing.F) {
	for _, target := range []string{"/", "/a/../b", "//x", "/%2e%2e/%2F", "/a?b=c;d", "/%00", "/a b", "/*", "/a#b", "/?x=%zz", "/?a b"} {
		f.Add(target)
	}
	g := newGateway(f)
	var seen []string
	g.addExecutor(f, "e1", 8, emulator.WithHandler(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		seen = append(seen, request.RequestURI)
	})))
	f.Fuzz(func(t *testing.T, target string) {
		request, err := http.NewRequest(http.MethodGet, "http://gateway/v1/services/public"+target, http.NoBody)
		if err != nil {
			t.Skip("no URL")
		}
		request.RemoteAddr = "127.0.0.1:1"
		expected := request.URL.EscapedPath()
		if request.URL.RawQuery != "" {
			expected += "?" + request.URL.RawQuery
		}
		seen = nil
		recorder := httptest.NewRecorder()
		g.ServeHTTP(recorder, request)
		c := qt.New(t)
		if recorder.Code != http.StatusOK {
			c.Assert(recorder.Header().Get(router.OutcomeHeader), qt.Equals, string(router.NotRun), qt.Commentf("%d %s", recorder.Code, recorder.Body))
			c.Assert(seen, qt.HasLen, 0)
			return
		}
		c.Assert(seen, qt.HasLen, 1)
		if rest, ok := strings.CutPrefix(expected, "/v1/services/public/"); ok {
			c.Assert(seen[0], qt.Equals, "/"+rest)
		}
	})
}
