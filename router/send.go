package router

import (
	"context"
	"net/http"
	"net/http/httptrace"
)

// transmission tracks one attempt to send a request.
type transmission struct {
	conn          *countingConn // connection that carries the request, nil if it got none
	writtenBefore int64         // bytes written to conn before the request
	abortUpload   func()        // called when conn is closed; may be nil
}

// send sends the request. After an error the caller calls closeAndReportSent on the
// transmission to learn whether a byte of the request may have been sent. abortUpload
// stops reading a request body that is a stream; it is nil for other bodies.
func send(ctx context.Context, transport *http.Transport, request *http.Request, abortUpload func()) (*http.Response, *transmission, error) {
	t := &transmission{abortUpload: abortUpload}
	trace := &httptrace.ClientTrace{GotConn: t.gotConn}
	response, err := transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	return response, t, err
}

// gotConn records the connection that carries the request.
func (t *transmission) gotConn(info httptrace.GotConnInfo) {
	t.conn = countingConnOf(info.Conn)
	if t.conn != nil {
		t.writtenBefore = t.conn.written.Load()
		t.conn.setCloseHook(t.abortUpload)
	}
}

// closeAndReportSent closes the connection and reports whether a byte of the request
// may have been sent.
func (t *transmission) closeAndReportSent() bool {
	if t.conn == nil {
		return false
	}
	_ = t.conn.Close()
	return t.conn.written.Load() != t.writtenBefore
}

// closeConn closes the connection, so that a late response on it is never taken for
// the response to another request.
func (t *transmission) closeConn() {
	if t.conn != nil {
		_ = t.conn.Close()
	}
}
