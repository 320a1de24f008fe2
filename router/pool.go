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

// Limits of the connections to executors and other entry VMs.
const (
	dialTimeout     = time.Second
	keepAlivePeriod = 15 * time.Second
	// connectionIdle is shorter than the idle timeout of most servers, so that a
	// request is seldom sent on a connection that the server is closing.
	connectionIdle  = 20 * time.Second
	peerConnections = 256      // limit of connections to one entry VM
	transferBuffer  = 32 << 10 // bytes
)

// transportPool keeps one transport per executor, because each executor has its own
// limit of connections.
type transportPool struct {
	mu         sync.RWMutex
	transports map[string]*executorTransport // by executor id
}

// executorTransport is the transport to one executor.
type executorTransport struct {
	address     string // host:port
	connections int    // limit of connections of the transport
	transport   *http.Transport
}

func newTransportPool() *transportPool {
	return &transportPool{transports: map[string]*executorTransport{}}
}

// transport returns the transport to the slot's executor. It makes a new one if the
// executor's address has changed or its limit of connections is lower than before;
// requests in flight finish on the old one.
func (p *transportPool) transport(slot Slot) *http.Transport {
	p.mu.RLock()
	existing, ok := p.transports[slot.executor]
	p.mu.RUnlock()
	if ok && existing.fits(slot) {
		return existing.transport
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	existing, ok = p.transports[slot.executor]
	if ok && existing.fits(slot) {
		return existing.transport
	}
	if ok {
		existing.transport.CloseIdleConnections()
	}
	created := &executorTransport{address: slot.address, connections: slot.connections, transport: newTransport(slot.connections)}
	p.transports[slot.executor] = created
	return created.transport
}

// fits reports whether the transport has the slot's address and stays within the slot's
// limit of connections.
func (t *executorTransport) fits(slot Slot) bool {
	return t.address == slot.address && t.connections <= slot.connections
}

// remove drops the executor's transport. Requests in flight finish on its
// connections.
func (p *transportPool) remove(executor string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if existing, ok := p.transports[executor]; ok {
		existing.transport.CloseIdleConnections()
		delete(p.transports, executor)
	}
}

// closeIdle closes all connections that carry no request.
func (p *transportPool) closeIdle() {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, existing := range p.transports {
		existing.transport.CloseIdleConnections()
	}
}

// newTransport returns a transport that opens at most the given number of connections
// to each host.
func newTransport(connections int) *http.Transport {
	return &http.Transport{
		DialContext:            dialCounting,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        connectionIdle,
		DisableCompression:     true, // Bodies are passed on unchanged.
		WriteBufferSize:        transferBuffer,
		MaxResponseHeaderBytes: headerLimit,
		ReadBufferSize:         transferBuffer,
	}
}

// newPeerTransport returns a transport to other entry VMs over plain HTTP.
func newPeerTransport() *http.Transport { return newTransport(peerConnections) }

// NewPeerTransport returns a transport to other entry VMs with the TLS settings; nil
// stands for plain HTTP.
func NewPeerTransport(settings *tls.Config) *http.Transport {
	transport := newPeerTransport()
	transport.TLSClientConfig = settings
	return transport
}

// dialCounting opens a connection that counts the bytes written to it.
func dialCounting(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn}, nil
}

// countingConn counts the bytes written to a connection. They are counted before the
// write, so if the count after Close is the same as before a request, no byte of the
// request was sent.
type countingConn struct {
	net.Conn
	written   atomic.Int64 // bytes, only increases
	closeHook atomic.Value // a func() that Close calls; may hold a nil func
}

// setCloseHook sets the function that Close calls; nil removes it.
func (c *countingConn) setCloseHook(f func()) { c.closeHook.Store(f) }

// Close closes the connection and calls the hook.
func (c *countingConn) Close() error {
	err := c.Conn.Close()
	if f, _ := c.closeHook.Load().(func()); f != nil {
		f()
	}
	return err
}

// Write counts data before it sends it.
func (c *countingConn) Write(data []byte) (int, error) {
	c.written.Add(int64(len(data)))
	return c.Conn.Write(data)
}

// countingConnOf returns the countingConn that is conn or lies below its TLS layer,
// or nil.
func countingConnOf(conn net.Conn) *countingConn {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	counting, _ := conn.(*countingConn)
	return counting
}
