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
	// maxBufferedBytes is the size up to which a request body is read whole before a
	// slot is taken, so that a slow caller occupies no slot and a retry can send all
	// of it. Responses up to this size are read whole as well.
	maxBufferedBytes = 64 << 10
	// bodyTimeout is how long a caller may take to send a body that is read whole.
	bodyTimeout = 10 * time.Second
)

// payload is the body of an urgent request.
type payload struct {
	data       []byte      // the whole body; unused if stream is set
	stream     io.Reader   // nil if the body was read whole
	length     int64       // bytes, -1 if unknown
	streamRead atomic.Bool // part of stream was read, so it can't be sent again
	upload     *upload     // nil if stream is nil
}

// upload can stop the reading of a streamed body from the caller. The transport waits
// for the body's reader, so without this a request could not be abandoned.
type upload struct {
	mu         sync.Mutex
	controller *http.ResponseController
	finished   bool // the handler has returned; the connection may serve another request
}

// abort makes reads from the caller fail at once, unless finish was called.
func (u *upload) abort() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.finished {
		_ = u.controller.SetReadDeadline(time.Now())
	}
}

// finish makes later calls of abort have no effect.
func (u *upload) finish() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.finished = true
}

// abort makes reads of a streamed body fail at once.
func (p *payload) abort() {
	if p.upload != nil {
		p.upload.abort()
	}
}

// finish makes later calls of abort have no effect. The handler calls it when it
// returns.
func (p *payload) finish() {
	if p.upload != nil {
		p.upload.finish()
	}
}

// readPayload returns the body of the request. It reads a body of known length up to
// maxBufferedBytes whole. limit is the largest body in bytes.
func readPayload(w http.ResponseWriter, request *http.Request, limit int64) (*payload, error) {
	length := request.ContentLength
	if length > limit {
		return nil, bodyProblem(&http.MaxBytesError{Limit: limit})
	}
	if length == 0 {
		return &payload{}, nil
	}
	body := http.MaxBytesReader(w, request.Body, limit)
	if Streams(length) {
		return &payload{stream: body, length: length, upload: &upload{controller: http.NewResponseController(w)}}, nil
	}
	stop := setReadTimeout(w, bodyTimeout)
	defer stop()
	data := make([]byte, length)
	if _, err := io.ReadFull(body, data); err != nil {
		return nil, bodyProblem(err)
	}
	return &payload{data: data, length: length}, nil
}

// Streams reports whether the body of an urgent request is passed on while it is read. length is
// that of the body in bytes, -1 if unknown.
func Streams(length int64) bool { return length < 0 || length > maxBufferedBytes }

// setReadTimeout limits how long reads from the caller may take. The returned function
// removes the limit.
func setReadTimeout(w http.ResponseWriter, d time.Duration) func() {
	controller := http.NewResponseController(w)
	if controller.SetReadDeadline(time.Now().Add(d)) != nil {
		return func() {}
	}
	return func() { _ = controller.SetReadDeadline(time.Time{}) }
}

// reader returns the body for one attempt. Unless the request is idempotent, the body
// is of a type that http.Transport never sends again by itself.
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

// replayable reports whether the whole body can be sent again.
func (p *payload) replayable() bool { return p.stream == nil || !p.streamRead.Load() }

// streamReader reads the streamed body. Closing it leaves the stream open for another
// attempt.
type streamReader struct{ payload *payload }

// Read reads from the stream and marks the payload as not replayable.
func (s *streamReader) Read(data []byte) (int, error) {
	s.payload.streamRead.Store(true)
	return s.payload.stream.Read(data)
}

// Close does nothing, because the server closes the stream.
func (s *streamReader) Close() error { return nil }
