package limiter

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// settleTime is how long a connection may be without a byte before it counts as idle.
	// Under a flood of new connections, those of ordinary callers that wait for their next
	// request are kept while there are others that never sent one.
	settleTime = 50 * time.Millisecond
)

// Listener is a listener with a limited number of open connections. At the limit, it closes
// the most idle connection for a new one: many clients that keep their connections open would
// otherwise shut out everybody else. A connection whose request is being served is not closed.
// If all are, the new connection is closed.
type Listener struct {
	net.Listener
	limiter *Limiter
	name    string // for the log
	limit   int    // open connections, at least 1
	started time.Time
	timeout time.Duration // of a write, 0 for none

	mu    sync.Mutex
	conns map[*Conn]struct{} // open ones
}

// ListenerOption changes a Listener under construction.
type ListenerOption func(*Listener)

// WithWriteTimeout sets how long a client may leave what is written unread. It doesn't hold
// while the server sets a write deadline of its own.
func WithWriteTimeout(d time.Duration) ListenerOption { return func(l *Listener) { l.timeout = d } }

// WithSocketBuffer sets the size of the receive buffer of connections in bytes. The buffers hold
// what clients have sent and nobody has read, and grow to megabytes by default.
func WithSocketBuffer(bytes int) ListenerOption {
	return func(l *Listener) {
		socket, ok := l.Listener.(syscall.Conn)
		if !ok {
			return
		}
		if raw, err := socket.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { // accepted sockets inherit the size
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
			})
		}
	}
}

// Listen limits the number of open connections of a listener, whose name is for the log.
func (l *Limiter) Listen(listener net.Listener, name string, limit int, options ...ListenerOption) *Listener {
	limited := &Listener{
		Listener: listener, limiter: l, name: name, limit: max(limit, 1), started: time.Now(), conns: map[*Conn]struct{}{},
	}
	for _, option := range options {
		option(limited)
	}
	return limited
}

// Accept waits for the next connection that is within the limit.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: conn, listener: l}
		c.advance()
		victim, ok := l.admit(c)
		if victim != nil {
			l.countClosed()
			_ = victim.Close()
		}
		if ok {
			return c, nil
		}
		l.countClosed()
		_ = conn.Close()
	}
}

// countClosed counts and logs a connection that is closed at the limit.
func (l *Listener) countClosed() {
	l.limiter.closed.Inc(1)
	l.limiter.mu.Lock()
	defer l.limiter.mu.Unlock()
	l.limiter.report("connection closed: too many connections of "+l.name, "limit", l.limit)
}

// admit adds a connection unless the limit is reached by connections that can't be closed. It
// returns the connection to close for it, if any.
func (l *Listener) admit(c *Conn) (*Conn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var victim *Conn
	if len(l.conns) >= l.limit {
		if victim = l.mostIdle(); victim == nil {
			return nil, false
		}
		delete(l.conns, victim)
		l.limiter.open.Dec(1)
	}
	l.conns[c] = struct{}{}
	l.limiter.open.Inc(1)
	return victim, true
}

// mostIdle returns the connection that has been without progress for longest. Connections
// that have served a request are returned only if all others have just made progress.
func (l *Listener) mostIdle() *Conn {
	var fresh, known *Conn
	for c := range l.conns {
		switch {
		case c.serving.Load() > 0:
		case c.served.Load():
			known = c.older(known)
		default:
			fresh = c.older(fresh)
		}
	}
	if known == nil || fresh != nil && time.Since(l.started)-time.Duration(fresh.progress.Load()) > settleTime {
		return fresh
	}
	return known
}

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	progress atomic.Int64 // ns from the start of the listener to the last byte read
	serving  atomic.Int64 // requests that may have been handed on and have no response yet; HTTP/2 has several at once
	served   atomic.Bool  // a request was served
	deadline atomic.Bool  // the server has set a write deadline
}

// older returns the one of both without progress for longer. other may be nil.
func (c *Conn) older(other *Conn) *Conn {
	if other == nil || c.progress.Load() < other.progress.Load() {
		return c
	}
	return other
}

// Read reads from the connection and notes the progress.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.advance()
	}
	return n, err
}

// advance notes that the connection made progress now.
func (c *Conn) advance() { c.progress.Store(int64(time.Since(c.listener.started))) }

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	if c.listener.timeout > 0 && !c.deadline.Load() {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(c.listener.timeout))
	}
	return c.Conn.Write(p)
}

// SetWriteDeadline sets a deadline that holds instead of the time-out of writes; the zero time
// ends that.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.deadline.Store(!t.IsZero())
	return c.Conn.SetWriteDeadline(t)
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	if _, ok := c.listener.conns[c]; ok {
		delete(c.listener.conns, c)
		c.listener.limiter.open.Dec(1)
	}
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends the sending, so that net/http can send a response before it closes the
// connection of a body that it has not read.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// use is the use of a connection by one request.
type use struct {
	conn      *Conn // nil if the listener is not limited
	mu        sync.Mutex
	protected bool
	released  bool // the handler has returned, though a transport may still read the body
}

// protect keeps the connection open until release, as the request may be handed on.
func (u *use) protect() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn != nil && !u.protected && !u.released {
		u.protected = true
		u.conn.serving.Add(1)
	}
}

// release ends the protection. As the response may not be sent yet, it counts as progress.
func (u *use) release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.released = true
	if u.protected {
		u.conn.advance()
		u.conn.served.Store(true)
		u.conn.serving.Add(-1)
	}
}
