package router

import (
	"context"
	"net/http"
	"net/http/httptrace"
)

// delivery is what became of one try to send a request.
type delivery struct {
	conn   *countedConn // the connection taken, nil when none was
	before int64        // bytes written on it before the request
	abort  func()       // called when the connection is closed; may be nil
}

// send sends the request. On an error, reached tells of the delivery whether a
// byte of the request may have left. Abort ends the reading of a body that is a
// stream, nil for others.
func send(ctx context.Context, transport *http.Transport, request *http.Request, abort func()) (*http.Response, *delivery, error) {
	d := &delivery{abort: abort}
	trace := &httptrace.ClientTrace{GotConn: d.gotConn}
	response, err := transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	return response, d, err
}

// gotConn notes the connection that carries the request.
func (d *delivery) gotConn(info httptrace.GotConnInfo) {
	d.conn = countedOf(info.Conn)
	if d.conn != nil {
		d.before = d.conn.written.Load()
		d.conn.onClose(d.abort)
	}
}

// reached closes the connection and reports whether a byte of the request may
// have left.
func (d *delivery) reached() bool {
	if d.conn == nil {
		return false
	}
	_ = d.conn.Close()
	return d.conn.written.Load() != d.before
}

// cut closes the connection, so that nothing late on it is read as another
// request's answer.
func (d *delivery) cut() {
	if d.conn != nil {
		_ = d.conn.Close()
	}
}
