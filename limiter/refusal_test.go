package limiter

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// TestRefusalWithLastBytes guards against a connection that serves on after its last body was
// refused while the last bytes had arrived: net/http then ends the context of the connection, and all
// later requests on it fail.
func TestRefusalWithLastBytes(t *testing.T) {
	c := quicktest.New(t)
	l, err := New(WithBudget(100 << 10))
	c.Assert(err, quicktest.IsNil)
	handler := http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if _, err := io.ReadAll(request.Body); err != nil {
			w.WriteHeader(http.StatusTooManyRequests)
		}
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	server := &http.Server{Handler: l.Handler(handler, Policy{Factor: 3}), ConnContext: ConnContext}
	go func() { _ = server.Serve(l.Listen(listener, "test", 10)) }()
	defer func() { _ = server.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, quicktest.IsNil)
	defer func() { _ = conn.Close() }()
	const size = 40 << 10 // three times that are over the budget
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat(" ", size))
	c.Assert(err, quicktest.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, quicktest.IsNil)
	defer func() { _ = response.Body.Close() }()
	c.Check(response.StatusCode, quicktest.Equals, http.StatusTooManyRequests)
	c.Check(response.Close, quicktest.IsTrue)
}

// TestConcurrentUsesOfConnection guards against a connection of several requests that loses its
// protection with the first response, and against a protection that outlives its request.
func TestConcurrentUsesOfConnection(t *testing.T) {
	c := quicktest.New(t)
	l, err := New()
	c.Assert(err, quicktest.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	limited := l.Listen(listener, "test", 1)
	defer func() { _ = limited.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, quicktest.IsNil)
	defer func() { _ = client.Close() }()
	accepted, err := limited.Accept()
	c.Assert(err, quicktest.IsNil)
	conn := accepted.(*Conn)
	first, second := &use{conn: conn}, &use{conn: conn}
	first.protect()
	second.protect()
	second.release()
	c.Check(conn.serving.Load(), quicktest.Equals, int64(1))
	second.protect()
	c.Check(conn.serving.Load(), quicktest.Equals, int64(1), quicktest.Commentf("a read after the end"))
	first.release()
	c.Check(conn.serving.Load(), quicktest.Equals, int64(0))
}

// TestResponseBeforeBody guards against a connection that is reset before its client has read the
// response, since the body was not read.
func TestResponseBeforeBody(t *testing.T) {
	c := quicktest.New(t)
	l, err := New()
	c.Assert(err, quicktest.IsNil)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		CloseAfterResponse(w)
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	server := &http.Server{Handler: l.Handler(handler, Policy{}), ConnContext: ConnContext}
	go func() { _ = server.Serve(l.Listen(listener, "test", 100, WithSocketBuffer(8<<10))) }()
	defer func() { _ = server.Close() }()
	for range 50 {
		response, err := http.Post("http://"+listener.Addr().String(), "text/plain", strings.NewReader(strings.Repeat("x", 300<<10)))
		c.Assert(err, quicktest.IsNil)
		c.Check(response.StatusCode, quicktest.Equals, http.StatusRequestEntityTooLarge)
		c.Check(response.Body.Close(), quicktest.IsNil)
	}
}
