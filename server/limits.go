package server

import (
	"net"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"filberthaven.example/limiter"
	"filberthaven.example/router"
)

const (
	// bodyFactor is the number of bytes that a byte of a body takes while it is read and
	// decoded: a buffer that grows by doubling, and the decoded request.
	bodyFactor = 3
	// writeTimeout is how long a client may leave a part of a response unread.
	writeTimeout = 30 * time.Second
	// receiveBuffer is the size of the receive buffers of connections in bytes. The kernel
	// doubles it.
	receiveBuffer = 64 << 10
)

// limitedServer is an HTTP server with limits on bodies and connections.
type limitedServer struct {
	server   *http.Server
	listener net.Listener
}

// limit returns a server of a listener. refusal is the error of a body that is refused; it may
// be nil.
func (s *Server) limit(name string, listener net.Listener, newServer func(http.Handler) *http.Server, handler http.Handler, refusal func(error) error) (limitedServer, error) {
	limits := s.settings.Limits()
	l, err := limiter.New(limiter.WithBudget(limits.Bodies()), limiter.WithStall(limits.Stall()),
		limiter.WithLogger(s.logger), limiter.WithRegistry(s.registry))
	if err != nil {
		return limitedServer{}, err
	}
	server := newServer(l.Handler(handler, limiter.Policy{Factor: bodyFactor, Refusal: refusal, Streams: isStreamed, Refuse: router.WriteRefusal}))
	server.ConnContext = limiter.ConnContext
	limited := l.Listen(listener, name, limits.Connections(), limiter.WithWriteTimeout(writeTimeout), limiter.WithSocketBuffer(receiveBuffer))
	return limitedServer{server, limited}, nil
}

// newServers returns the servers of callers and of other entry VMs.
func (s *Server) newServers() (callers, peers limitedServer, err error) {
	callers, err = s.limit("callers", s.listener, func(handler http.Handler) *http.Server {
		return router.NewServer(handler, s.security.callerTLS(), s.logger)
	}, s.router, nil)
	if err != nil {
		return callers, peers, err
	}
	peers, err = s.limit("internal", s.internal, func(handler http.Handler) *http.Server {
		return router.NewServer(handler, s.security.peerTLS(), s.logger)
	}, s.internalHandler(), unavailable)
	return callers, peers, err
}

// unavailable returns the error of a call that was not carried out because its body was
// refused.
func unavailable(cause error) error { return connect.NewError(connect.CodeUnavailable, cause) }

// isStreamed reports whether the body of a request is passed on while it is read.
func isStreamed(request *http.Request) bool {
	return strings.HasPrefix(request.URL.Path, servicesPath) && router.Streams(request.ContentLength)
}
