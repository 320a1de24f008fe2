package router

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferLimit is the largest body in bytes that is held whole, so that a slow
	// caller takes no slot and a retry has all of it.
	bufferLimit = 64 << 10
	// bodyTimeout bounds the time to send a body that is held whole.
	bodyTimeout = 10 * time.Second
)

// payload is the body of an urgent request.
type payload struct {
	data    []byte      // the whole body, unless there is a stream
	stream  io.Reader   // nil when the body is held whole
	length  int64       // bytes, -1 when unknown
	touched atomic.Bool // the stream was read from, so it can't be sent again
	upload  *upload     // set when there is a stream
}

// upload ends the caller's sending of a stream. The transport waits for the
// reader of a body, so a request could not be given up without it.
type upload struct {
	mu         sync.Mutex
	controller *http.ResponseController
	ended      bool // the handler has returned, the connection is another request's
}

// abort makes reads from the caller fail at once.
func (u *upload) abort() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.ended {
		_ = u.controller.SetReadDeadline(time.Now())
	}
}

// end makes later calls of abort do nothing.
func (u *upload) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended = true
}

// abort ends the caller's sending, if there is a stream.
func (p *payload) abort() {
	if p.upload != nil {
		p.upload.abort()
	}
}

// end tells that the request is over.
func (p *payload) end() {
	if p.upload != nil {
		p.upload.end()
	}
}

// readPayload returns the body, reading it whole if it is small.
func readPayload(w http.ResponseWriter, request *http.Request, limit int64) (*payload, error) {
	length := request.ContentLength
	if length > limit {
		return nil, bodyProblem(&http.MaxBytesError{Limit: limit})
	}
	if length == 0 {
		return &payload{}, nil
	}
	body := http.MaxBytesReader(w, request.Body, limit)
	if length < 0 || length > bufferLimit {
		return &payload{stream: body, length: length, upload: &upload{controller: http.NewResponseController(w)}}, nil
	}
	stop := boundRead(w, bodyTimeout)
	defer stop()
	data := make([]byte, length)
	if _, err := io.ReadFull(body, data); err != nil {
		return nil, bodyProblem(err)
	}
	return &payload{data: data, length: length}, nil
}

// boundRead sets how long reads from the caller may take; the function returned
// undoes that.
func boundRead(w http.ResponseWriter, d time.Duration) func() {
	controller := http.NewResponseController(w)
	if controller.SetReadDeadline(time.Now().Add(d)) != nil {
		return func() {}
	}
	return func() { _ = controller.SetReadDeadline(time.Time{}) }
}

// reader returns the body for one try. Unless the request is idempotent it is
// of a kind that http.Transport never sends a second time by itself.
func (p *payload) reader(idempotent bool) io.ReadCloser {
	switch {
	case p.stream != nil:
		return &streamReader{payload: p}
	case len(p.data) > 0:
		return io.NopCloser(bytes.NewReader(p.data))
	case idempotent:
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(nil))
}

// replayable reports whether the whole body can still be sent.
func (p *payload) replayable() bool { return p.stream == nil || !p.touched.Load() }

// streamReader reads the caller's stream. Close leaves it open for another try.
type streamReader struct{ payload *payload }

// Read reads from the caller.
func (s *streamReader) Read(data []byte) (int, error) {
	s.payload.touched.Store(true)
	return s.payload.stream.Read(data)
}

// Close does nothing; the server closes the body.
func (s *streamReader) Close() error { return nil }
