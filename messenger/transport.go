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

// NewTransport returns an HTTP transport for calls to entry VMs, workers and the
// platform. config is used for https URLs and may be nil. The transport uses no proxy.
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
