package router

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/oops"
)

// Limits of callers' connections.
const (
	// headerTimeout is how long a caller may take to send a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a keep-alive connection may stay without a request.
	idleTimeout = 2 * time.Minute
	// headerLimit is the largest header in bytes, of requests and of responses.
	headerLimit = 64 << 10
)

// NewServer returns an http.Server with the limits of the callers' API. It sets no time
// limit for bodies, because a response may stream for long; the handlers limit them.
// The TLS settings may be nil.
func NewServer(handler http.Handler, settings *tls.Config, logger hclog.Logger) *http.Server {
	return &http.Server{
		Handler:           handler,
		TLSConfig:         settings,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerLimit,
		ErrorLog:          logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

// Serve serves connections from the listener until the server is shut down, and then
// returns nil.
func Serve(server *http.Server, listener net.Listener) error {
	var err error
	if server.TLSConfig != nil {
		err = server.ServeTLS(listener, "", "")
	} else {
		err = server.Serve(listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return oops.Wrapf(err, "serve callers at %v", listener.Addr())
}

// Drain makes /readyz fail, closes keep-alive connections after their next response so
// that callers reconnect elsewhere, and ends long polls with the current state of the
// job. Requests are still served.
func (r *Router) Drain() {
	r.draining.Store(true)
	r.inFlight.close()
	r.logger.Info("shutting down")
}

// Shutdown calls Drain, waits until no request is in flight and none has arrived for
// the quiet period, and closes idle connections to executors and other entry VMs. It
// returns an error if ctx ends first. The listener must stay open meanwhile, because the
// load balancer sends requests until it has seen /readyz fail. Call http.Server.Shutdown
// afterwards.
func (r *Router) Shutdown(ctx context.Context) error {
	r.Drain()
	if err := r.inFlight.wait(ctx, r.quietPeriod, r.now); err != nil {
		return oops.Wrapf(err, "wait for requests in flight")
	}
	r.pool.closeIdle()
	r.peers.CloseIdleConnections()
	return nil
}

// Forget drops the connections and the health record of an executor that has left the
// service.
func (r *Router) Forget(service, executor string) {
	r.pool.remove(executor)
	r.ejector.Forget(service, executor)
}
