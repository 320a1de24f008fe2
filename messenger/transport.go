package messenger

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout     = time.Second
	idleTimeout     = 30 * time.Second
	idleConnections = 16 // per peer
)

// NewTransport returns the HTTP transport for calls to peers and workers, over
// TLS when config is not nil. It dials no proxy.
func NewTransport(config *tls.Config) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: idleTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     config,
		TLSHandshakeTimeout: dialTimeout,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}
