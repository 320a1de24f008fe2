package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// buffers holds spare buffers for answers.
var buffers = sync.Pool{New: func() any { return new([transferBuffer]byte) }}

// stream copies an answer's body to the caller as it comes. It returns
// errAborted if either side ends early.
func (u *urgent) stream(ctx context.Context, response *http.Response) error {
	controller := http.NewResponseController(u.w)
	// A caller that reads nothing must not hold the slot past the deadline.
	stop := context.AfterFunc(ctx, func() { _ = controller.SetWriteDeadline(time.Now()) })
	defer stop()
	buffer := buffers.Get().(*[transferBuffer]byte)
	defer buffers.Put(buffer)
	flush := response.ContentLength < 0
	if flush {
		_ = controller.Flush()
	}
	for {
		n, err := response.Body.Read(buffer[:])
		if n > 0 && !u.pass(controller, buffer[:n], flush) {
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

// pass writes a part of the body and reports whether the caller took it.
func (u *urgent) pass(controller *http.ResponseController, part []byte, flush bool) bool {
	if _, err := u.w.Write(part); err != nil {
		return false
	}
	return !flush || controller.Flush() == nil
}

// writeTrailer passes on what follows the body.
func (u *urgent) writeTrailer(response *http.Response) {
	for name, values := range response.Trailer {
		u.w.Header()[http.TrailerPrefix+name] = values
	}
}
