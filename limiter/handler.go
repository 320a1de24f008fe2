package limiter

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// maxFields is the largest number of header fields of a request. Parsed, a field takes some
// 100 bytes however short it is, so that a header of 16 KB could take half a megabyte.
const maxFields = 128

// streamBuffer is the number of bytes that a body takes that is passed on while it is read:
// the buffers of both connections.
const streamBuffer = 64 << 10

// Policy says how the bodies of a handler's requests are charged and limited.
type Policy struct {
	// Factor is the number of bytes charged for each byte that the handler reads, 0 for a
	// handler that reads bodies with Body.All.
	Factor int64
	// Timeout returns the time in which a body has to arrive, 0 for any. It may be nil.
	Timeout func(*http.Request) time.Duration
	// Streams reports whether the body of a request is passed on while it is read. Such a body
	// is refused at the beginning, or when it makes no progress. It may be nil.
	Streams func(*http.Request) bool
	// Refusal turns the error of a refused body into that of a Read. It may be nil.
	Refusal func(error) error
	// Refuse writes the response to a request that is refused before the handler is called.
	Refuse func(w http.ResponseWriter, status int, reason string)
}

// connKey is the context key of a *Conn.
type connKey struct{}

// ConnContext is the ConnContext of http.Servers whose listener is from Listen.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if wrapper, ok := conn.(interface{ NetConn() net.Conn }); ok { // TLS
		conn = wrapper.NetConn()
	}
	if c, ok := conn.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// useOf returns the use of its connection by a request.
func useOf(request *http.Request) *use {
	conn, _ := request.Context().Value(connKey{}).(*Conn)
	return &use{conn: conn}
}

// BodyFrom returns the body of a request of a Limiter's handler, nil if it has none.
func BodyFrom(request *http.Request) *Body {
	b, _ := request.Body.(*Body)
	return b
}

// Handler returns a handler that limits the bodies of the requests to next.
func (l *Limiter) Handler(next http.Handler, policy Policy) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		conn := useOf(request)
		defer conn.release()
		if len(request.Header) > maxFields {
			refuse(w, policy, http.StatusRequestHeaderFieldsTooLarge, "too many header fields")
			return
		}
		if request.ContentLength == 0 {
			conn.protect()
			next.ServeHTTP(w, request)
			return
		}
		b := &Body{
			limiter: l, source: request.Body, w: w, use: conn, path: request.URL.Path, expected: request.ContentLength,
			factor: policy.Factor, refusal: policy.Refusal,
		}
		if policy.Timeout != nil {
			if timeout := policy.Timeout(request); timeout > 0 {
				b.deadline = l.now().Add(timeout)
			}
		}
		l.begin(b)
		defer b.finish()
		if policy.Streams != nil && policy.Streams(request) {
			b.factor, b.streams = 0, true
			if err := l.charge(b, streamBuffer); err != nil {
				refuse(w, policy, http.StatusServiceUnavailable, err.Error())
				return
			}
		}
		request.Body = b
		next.ServeHTTP(w, request)
	})
}

// refuse writes a response and closes the connection, so that the rest of the body is not read.
func refuse(w http.ResponseWriter, policy Policy, status int, reason string) {
	w.Header().Set("Connection", "close")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	if policy.Refuse != nil {
		policy.Refuse(w, status, reason)
		return
	}
	http.Error(w, reason, status)
}

// finish ends the charges of the body when its handler returns, also by a panic. net/http then
// doesn't wait for the rest of the body, and closes the connection unless all has arrived.
func (b *Body) finish() {
	b.limiter.mu.Lock()
	if !b.complete {
		b.interrupt()
	}
	b.ended = true
	b.limiter.mu.Unlock()
	b.end()
}

// Bodiless returns a handler for requests without a body. The connection of a request that has
// one is closed after the response, so that net/http doesn't wait for the body.
func Bodiless(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		conn := useOf(request)
		defer conn.release()
		if request.ContentLength != 0 || len(request.Header) > maxFields {
			w.Header().Set("Connection", "close")
		} else {
			conn.protect()
		}
		next.ServeHTTP(w, request)
	})
}

// IsRefused reports whether the error of a Read is that of a refused body.
func IsRefused(err error) bool { return errors.Is(err, ErrRefused) }

// CloseAfterResponse makes the server close the connection of a request whose body was not read.
// It waits half a second before that, so that the client can read the response: a connection
// that is closed with unread bytes is reset. net/http does so only if an http.MaxBytesReader has
// found the body too large.
func CloseAfterResponse(w http.ResponseWriter) {
	tooLarge := http.MaxBytesReader(w, io.NopCloser(strings.NewReader(" ")), 0)
	_, _ = tooLarge.Read(make([]byte, 1))
}
