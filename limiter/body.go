package limiter

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// firstBuffer is the size in bytes of the first buffer of a body, which holds an
	// ordinary job of 1 to 5 KB.
	firstBuffer = 8 << 10
	// behindUnit is the difference in time without progress from which a body counts as
	// further behind than another.
	behindUnit = 50 * time.Millisecond
)

// Body is a request body whose bytes are charged. The fields from charged on are guarded by
// the lock of the Limiter.
type Body struct {
	limiter  *Limiter
	source   io.ReadCloser
	w        http.ResponseWriter
	use      *use // of the connection
	path     string
	expected int64 // bytes; -1 if unknown
	factor   int64 // bytes charged for each byte that Read returns
	held     int64 // bytes of the copies, acquired by Hold
	streams  bool  // the body is passed on while it is read
	refusal  func(error) error

	charged  int64     // bytes
	read     int64     // bytes read
	progress time.Time // when the last bytes were read, or the waiting for them began
	deadline time.Time // by which the body has to be complete; zero for none
	reading  bool      // a Read waits
	complete bool      // the body is not shed any more
	cause    error     // why the body was refused; nil if it was not
	ended    bool      // the handler has returned
}

// isBehind reports whether the body is further behind than another.
func (b *Body) isBehind(other *Body, now time.Time) bool {
	mine, others := now.Sub(b.progress)/behindUnit, now.Sub(other.progress)/behindUnit
	if mine != others {
		return mine > others
	}
	return b.left() > other.left()
}

// left returns how many bytes are still to come, the largest number if that is unknown.
func (b *Body) left() int64 {
	if b.expected < 0 {
		return 1<<62 - b.read
	}
	return b.expected - b.read
}

// interrupt ends a Read that waits.
func (b *Body) interrupt() {
	if !b.ended {
		_ = http.NewResponseController(b.w).SetReadDeadline(time.Unix(1, 0))
	}
}

// Read reads from the body and charges what it returns.
func (b *Body) Read(p []byte) (int, error) {
	if b.streams {
		b.use.protect()
	}
	n, err := b.readSome(p)
	if n > 0 && b.factor > 0 {
		if refused := b.limiter.charge(b, b.factor*int64(n)); refused != nil {
			return 0, b.refuse(refused)
		}
	}
	return n, err
}

// refuse returns the error of a Read of a body that was refused. The connection is closed after
// the response, as its context ends if its last bytes had arrived when it was interrupted.
func (b *Body) refuse(cause error) error {
	if !b.streams {
		b.w.Header().Set("Connection", "close")
	}
	if b.refusal != nil {
		return b.refusal(cause)
	}
	return cause
}

// readSome reads from the source and notes the progress.
func (b *Body) readSome(p []byte) (int, error) {
	l := b.limiter
	l.mu.Lock()
	cause := b.cause
	b.reading, b.progress = true, l.now()
	l.mu.Unlock()
	if cause != nil {
		return 0, b.refuse(cause)
	}
	n, err := b.source.Read(p)
	l.mu.Lock()
	b.reading = false
	if n > 0 {
		b.progress, b.read = l.now(), b.read+int64(n)
	}
	if errors.Is(err, io.EOF) && b.cause == nil {
		b.complete = true
	}
	cause = b.cause
	l.mu.Unlock()
	if cause != nil {
		return 0, b.refuse(cause)
	}
	if b.complete {
		b.use.protect()
	}
	return n, err
}

// Close closes the source.
func (b *Body) Close() error { return b.source.Close() }

// SetDeadline sets when the body has to be complete.
func (b *Body) SetDeadline(deadline time.Time) {
	b.limiter.mu.Lock()
	defer b.limiter.mu.Unlock()
	b.deadline = deadline
}

// All reads the whole body into a buffer that grows with what arrives, and charges the buffer.
// limit is the largest body in bytes; a larger one gives an *http.MaxBytesError. Other errors
// are those of the source, or wrap ErrRefused.
func (b *Body) All(limit int64) ([]byte, error) {
	if b.expected > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	most := limit + 1 // a byte more shows a body that is too large, or its end
	if b.expected >= 0 {
		most = b.expected + 1
	}
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			grown := min(max(2*int64(cap(buffer)), firstBuffer), most)
			if int64(len(buffer)) >= most {
				return nil, &http.MaxBytesError{Limit: limit}
			}
			if err := b.limiter.charge(b, grown-int64(cap(buffer))); err != nil {
				return nil, err
			}
			buffer = append(make([]byte, 0, grown), buffer...)
		}
		n, err := b.readSome(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case errors.Is(err, io.EOF) && int64(len(buffer)) > limit:
			return nil, &http.MaxBytesError{Limit: limit}
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return nil, err
		}
	}
}

// Hold waits until there is room for the copies of a complete body of n bytes, which are made
// while it is forwarded or decoded. Small bodies don't wait. The room is released when the
// request ends. The error wraps ErrRefused if ctx ends first.
func (b *Body) Hold(ctx context.Context, n int) error {
	if n <= smallBody {
		return nil
	}
	size := min(copyFactor*int64(n), b.limiter.room)
	if b.limiter.copies.Acquire(ctx, size) != nil {
		b.limiter.mu.Lock()
		defer b.limiter.mu.Unlock()
		b.limiter.shedBodies.Inc(1)
		b.limiter.report("body refused: no room to forward it", "path", b.path, "read", b.read)
		return ErrNoRoom
	}
	b.held = size
	return nil
}

// end ends all charges of the body.
func (b *Body) end() {
	if b.held > 0 {
		b.limiter.copies.Release(b.held)
		b.held = 0
	}
	b.limiter.end(b)
}
