package limiter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

const testLimit = 256 << 10

// fixture is a server on loopback that reads bodies whole.
type fixture struct {
	*quicktest.C
	limiter *Limiter
	address string
	errs    chan error // of the bodies that were not read
}

func newFixture(t *testing.T, connections int, after func(*http.Request), options ...Option) *fixture {
	f := &fixture{C: quicktest.New(t), errs: make(chan error, 100)}
	var err error
	f.limiter, err = New(options...)
	f.Assert(err, quicktest.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	f.Assert(err, quicktest.IsNil)
	f.address = listener.Addr().String()
	handler := http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if body := BodyFrom(request); body != nil {
			if _, err := body.All(testLimit); err != nil {
				f.errs <- err
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		}
		after(request)
	})
	server := &http.Server{Handler: f.limiter.Handler(handler, Policy{}), ConnContext: ConnContext, ErrorLog: f.limiter.log.StandardLogger(nil)}
	go func() {
		_ = server.Serve(f.limiter.Listen(listener, "tests", connections, WithWriteTimeout(time.Second), WithSocketBuffer(32<<10)))
	}()
	f.Cleanup(func() { _ = server.Close() })
	return f
}

// open sends a request with a body of which the last missing bytes don't come.
func (f *fixture) open(size, missing int) net.Conn {
	f.Helper()
	conn, err := net.Dial("tcp", f.address)
	f.Assert(err, quicktest.IsNil)
	f.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat(" ", size-missing))
	f.Assert(err, quicktest.IsNil)
	return conn
}

// status reads a response.
func (f *fixture) status(conn net.Conn) int {
	f.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	f.Assert(err, quicktest.IsNil)
	return response.StatusCode
}

// await waits until the number of bytes charged is n.
func (f *fixture) await(n int64) {
	for f.limiter.Used() != n {
		time.Sleep(time.Millisecond)
	}
}

func none(*http.Request) {}

// TestFurthestBehindIsShed guards against refusing small bodies, or those that have nearly
// arrived, while others take the budget.
func TestFurthestBehindIsShed(t *testing.T) {
	f := newFixture(t, 10, none, WithBudget(200<<10))
	behind := f.open(100<<10, 40<<10)
	f.await(64 << 10)
	time.Sleep(2 * behindUnit)
	ahead := f.open(100<<10, 1)
	f.await(64<<10 + 100<<10 + 1)
	small := f.open(40<<10, 0)
	f.Assert(f.status(small), quicktest.Equals, http.StatusOK)
	f.Assert(f.status(behind), quicktest.Equals, http.StatusServiceUnavailable)
	f.Assert(<-f.errs, quicktest.ErrorIs, ErrNoRoom)
	_, err := ahead.Write([]byte(" "))
	f.Assert(err, quicktest.IsNil)
	f.Assert(f.status(ahead), quicktest.Equals, http.StatusOK)
	f.await(0)
}

// TestSmallBodyBesideCompleteOnes guards against refusing ordinary requests while complete
// bodies, which are not shed, hold the budget.
func TestSmallBodyBesideCompleteOnes(t *testing.T) {
	arrived, done := make(chan struct{}), make(chan struct{})
	f := newFixture(t, 10, func(request *http.Request) {
		if request.ContentLength > smallBody {
			close(arrived)
			<-done
		}
	}, WithBudget(64<<10))
	large := f.open(64<<10-1, 0)
	<-arrived
	f.Assert(f.status(f.open(3000, 0)), quicktest.Equals, http.StatusOK)
	f.Assert(f.status(f.open(32<<10, 1)), quicktest.Equals, http.StatusServiceUnavailable)
	close(done)
	f.Assert(f.status(large), quicktest.Equals, http.StatusOK)
	f.await(0)
}

// TestChargeEnds guards against charges that outlive their request, which would in the end
// refuse everybody.
func TestChargeEnds(t *testing.T) {
	for name, after := range map[string]func(*http.Request){
		"response": none,
		"panic":    func(*http.Request) { panic(http.ErrAbortHandler) },
		"hold": func(request *http.Request) {
			_ = BodyFrom(request).Hold(request.Context(), 64<<10)
			panic(http.ErrAbortHandler)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 10, after, WithBudget(100<<10))
			for range 5 {
				_, _ = f.open(64<<10, 0).Read(make([]byte, 1)) // a response or the end
				f.await(0)
			}
			f.Assert(f.limiter.copies.TryAcquire(f.limiter.room), quicktest.IsTrue)
		})
	}
}

// TestStalledBody guards against bodies that hold their bytes for as long as the client likes.
func TestStalledBody(t *testing.T) {
	f := newFixture(t, 10, none, WithStall(30*time.Millisecond))
	f.Assert(f.status(f.open(64<<10, 1)), quicktest.Equals, http.StatusServiceUnavailable)
	f.Assert(<-f.errs, quicktest.ErrorIs, ErrSlow)
	f.await(0)
}

// TestTooLarge guards against reading more than the limit, and more than was announced.
func TestTooLarge(t *testing.T) {
	f := newFixture(t, 10, none)
	f.open(testLimit+1, testLimit)
	var tooLarge *http.MaxBytesError
	f.Assert(errors.As(<-f.errs, &tooLarge), quicktest.IsTrue)
	conn := f.open(1, 0)
	f.Assert(f.status(conn), quicktest.Equals, http.StatusOK)
	conn, err := net.Dial("tcp", f.address)
	f.Assert(err, quicktest.IsNil)
	defer conn.Close()
	chunk := fmt.Sprintf("%x\r\n%s\r\n", testLimit+1, strings.Repeat(" ", testLimit+1))
	_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%s", chunk)
	f.Assert(errors.As(<-f.errs, &tooLarge), quicktest.IsTrue)
}

// TestMostIdleConnectionIsClosed guards against many clients that shut out others, and against
// closing the connection of a request that may have been handed on.
func TestMostIdleConnectionIsClosed(t *testing.T) {
	arrived, done := make(chan struct{}), make(chan struct{})
	f := newFixture(t, 2, func(request *http.Request) {
		if request.ContentLength == 7 {
			close(arrived)
			<-done
		}
	})
	served := f.open(7, 0)
	<-arrived
	idle := f.open(100, 99)
	f.Assert(f.status(f.open(1, 0)), quicktest.Equals, http.StatusOK)
	_, err := idle.Read(make([]byte, 1))
	f.Assert(err, quicktest.IsNotNil)
	close(done)
	f.Assert(f.status(served), quicktest.Equals, http.StatusOK)
}

// TestStreamIsNotShed guards against refusing a body that was passed on already, of which nobody
// can say that it did not run.
func TestStreamIsNotShed(t *testing.T) {
	c := quicktest.New(t)
	l, err := New(WithBudget(100 << 10))
	c.Assert(err, quicktest.IsNil)
	handler := l.Handler(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		body := BodyFrom(request)
		_, err := body.Read(make([]byte, 1))
		c.Check(err, quicktest.IsNil)
		other := &Body{limiter: l, w: httptest.NewRecorder()}
		l.begin(other)
		c.Check(l.charge(other, 90<<10), quicktest.ErrorIs, ErrNoRoom)
		l.end(other)
		c.Check(body.cause, quicktest.IsNil)
	}), Policy{Streams: func(*http.Request) bool { return true }})
	handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", strings.NewReader("abc")))
	c.Assert(l.Used(), quicktest.Equals, int64(0))
}

// BenchmarkRequest measures a request with an ordinary body, with and without limits.
func BenchmarkRequest(b *testing.B) {
	l, _ := New()
	body := strings.Repeat(" ", 3000)
	for name, handler := range map[string]http.Handler{
		"unlimited": http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			_, _ = io.ReadAll(http.MaxBytesReader(w, request.Body, testLimit))
		}),
		"limited": l.Handler(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			_, _ = BodyFrom(request).All(testLimit)
		}), Policy{}),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				request, _ := http.NewRequest(http.MethodPost, "/", strings.NewReader(body))
				request.Body = io.NopCloser(strings.NewReader(body))
				handler.ServeHTTP(nil, request)
			}
		})
	}
}
