package router

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Settings of connections to executors and other entry VMs.
const (
	dialTimeout     = time.Second
	keepAlivePeriod = 15 * time.Second
	// connectionIdle is shorter than usual servers' own limits, so that a
	// request seldom meets a connection that is being closed.
	connectionIdle  = 20 * time.Second
	peerConnections = 256 // to one entry VM
	transferBuffer  = 32 << 10
)

// pool holds a transport for each executor, since each has its own bound of
// connections.
type pool struct {
	mu       sync.RWMutex
	backends map[string]*backend // by id of the executor
}

// backend is one executor's transport.
type backend struct {
	address     string // host:port
	connections int    // bound of the transport
	transport   *http.Transport
}

// newPool returns an empty pool.
func newPool() *pool { return &pool{backends: map[string]*backend{}} }

// transport returns the transport for the slot's executor. A new address or a
// lower bound of connections replaces it; requests in flight end on the old.
func (p *pool) transport(slot Slot) *http.Transport {
	p.mu.RLock()
	known, ok := p.backends[slot.executor]
	p.mu.RUnlock()
	if ok && known.serves(slot) {
		return known.transport
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok = p.backends[slot.executor]
	if ok && known.serves(slot) {
		return known.transport
	}
	if ok {
		known.transport.CloseIdleConnections()
	}
	fresh := &backend{address: slot.address, connections: slot.connections, transport: newTransport(slot.connections)}
	p.backends[slot.executor] = fresh
	return fresh.transport
}

// serves reports whether the backend still fits the slot.
func (b *backend) serves(slot Slot) bool {
	return b.address == slot.address && b.connections <= slot.connections
}

// forget drops an executor; requests in flight still end on its connections.
func (p *pool) forget(executor string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.backends[executor]; ok {
		known.transport.CloseIdleConnections()
		delete(p.backends, executor)
	}
}

// closeIdle closes all connections without a request.
func (p *pool) closeIdle() {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, backend := range p.backends {
		backend.transport.CloseIdleConnections()
	}
}

// newTransport returns a transport to one executor.
func newTransport(connections int) *http.Transport {
	return &http.Transport{
		DialContext:            dialCounted,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        connectionIdle,
		DisableCompression:     true, // Bodies pass as they are.
		WriteBufferSize:        transferBuffer,
		MaxResponseHeaderBytes: headerLimit,
		ReadBufferSize:         transferBuffer,
	}
}

// newPeerTransport returns a transport to entry VMs over plain HTTP.
func newPeerTransport() *http.Transport { return newTransport(peerConnections) }

// NewPeerTransport returns a transport to entry VMs with those TLS settings, nil
// for plain HTTP.
func NewPeerTransport(settings *tls.Config) *http.Transport {
	transport := newPeerTransport()
	transport.TLSClientConfig = settings
	return transport
}

// dialCounted opens a connection that counts what is written.
func dialCounted(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn}, nil
}

// countedConn counts the bytes that were handed to the network. The count rises
// before the write, so an unchanged count after Close means that nothing left.
type countedConn struct {
	net.Conn
	written atomic.Int64 // bytes, never falls
	closing atomic.Value // of func(), called by Close; nil inside: none
}

// onClose sets what Close calls, nil for nothing.
func (c *countedConn) onClose(f func()) { c.closing.Store(f) }

// Close closes the connection.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	if f, _ := c.closing.Load().(func()); f != nil {
		f()
	}
	return err
}

// Write counts and sends data.
func (c *countedConn) Write(data []byte) (int, error) {
	c.written.Add(int64(len(data)))
	return c.Conn.Write(data)
}

// countedOf returns the counting connection below conn, nil if there is none.
func countedOf(conn net.Conn) *countedConn {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	counted, _ := conn.(*countedConn)
	return counted
}
