package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// streamBuffers holds spare buffers for copying response bodies.
var streamBuffers = sync.Pool{New: func() any { return new([transferBuffer]byte) }}

// stream copies a response body to the caller as it arrives. It returns errAborted if
// the executor or the caller ends the connection early or the deadline passes.
func (u *urgentRequest) stream(ctx context.Context, response *http.Response) error {
	controller := http.NewResponseController(u.w)
	// Without a write deadline, a caller that reads nothing would occupy the slot past
	// the request's deadline.
	stop := context.AfterFunc(ctx, func() { _ = controller.SetWriteDeadline(time.Now()) })
	defer stop()
	buffer := streamBuffers.Get().(*[transferBuffer]byte)
	defer streamBuffers.Put(buffer)
	flush := response.ContentLength < 0
	if flush {
		_ = controller.Flush()
	}
	for {
		n, err := response.Body.Read(buffer[:])
		if n > 0 && !u.writePart(controller, buffer[:n], flush) {
			return errAborted
		}
		if errors.Is(err, io.EOF) {
			u.writeTrailer(response)
			return nil
		}
		if err != nil {
			return errAborted
		}
	}
}

// writePart writes a part of the body and reports whether that succeeded.
func (u *urgentRequest) writePart(controller *http.ResponseController, part []byte, flush bool) bool {
	if _, err := u.w.Write(part); err != nil {
		return false
	}
	return !flush || controller.Flush() == nil
}

// writeTrailer copies the response's trailers to the caller.
func (u *urgentRequest) writeTrailer(response *http.Response) {
	for name, values := range response.Trailer {
		u.w.Header()[http.TrailerPrefix+name] = values
	}
}
