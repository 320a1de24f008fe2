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

// Bounds of callers' connections.
const (
	// headerTimeout bounds the time to send a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout ends keep-alive connections without a request.
	idleTimeout = 2 * time.Minute
	// headerLimit is the largest header in bytes.
	headerLimit = 64 << 10
)

// NewServer returns an http.Server with the bounds of the callers' API. Bodies
// are bounded in time by the handlers, since an answer may stream for long.
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

// Serve runs server on the listener until Shutdown; it returns nil after that.
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

// Drain makes /readyz fail, asks callers to open new connections elsewhere and ends
// long polls with what is known. Requests are still served.
func (r *Router) Drain() {
	r.closing.Store(true)
	r.inFlight.close()
	r.logger.Info("shutting down")
}

// Shutdown drains, waits until no request is in flight and none has come for the
// quiet time, or ctx is done, and closes idle connections to executors. The
// listener stays open meanwhile, since the balancer sends requests until it has
// seen /readyz fail; http.Server.Shutdown follows.
func (r *Router) Shutdown(ctx context.Context) error {
	r.Drain()
	if err := r.inFlight.wait(ctx, r.quiet, r.now); err != nil {
		return oops.Wrapf(err, "wait for requests in flight")
	}
	r.pool.closeIdle()
	r.peers.CloseIdleConnections()
	return nil
}

// Forget drops what is kept of an executor that has left the service.
func (r *Router) Forget(service, executor string) {
	r.pool.forget(executor)
	r.ejector.Forget(service, executor)
}
