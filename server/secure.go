package server

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/http/pprof"
	"time"

	"filberthaven.example/authenticator"
	"filberthaven.example/messenger"
	"filberthaven.example/router"
)

// debugTimeout limits the time for reading the header of a request to the debug address.
const debugTimeout = 5 * time.Second

// security holds the TLS configuration of the servers and of calls to entry VMs.
type security struct {
	certificates *authenticator.Certificates // nil: plaintext
}

// newSecurity loads the certificate files of the settings, if any are set.
func (s *Server) newSecurity() (security, error) {
	files := s.settings.TLS()
	if !files.Enabled() {
		return security{}, nil
	}
	certificates, err := authenticator.NewCertificates(files.Certificate(), files.Key(), files.Authority(), s.logger)
	return security{certificates: certificates}, err
}

// callerTLS returns the TLS configuration of the callers' API, nil for plaintext.
func (s security) callerTLS() *tls.Config {
	if s.certificates == nil {
		return nil
	}
	return s.certificates.CallerTLSConfig()
}

// peerTLS returns the TLS configuration of the server for other entry VMs, nil for
// plaintext.
func (s security) peerTLS() *tls.Config {
	if s.certificates == nil {
		return nil
	}
	return s.certificates.PeerTLSConfig()
}

// clientTLS returns the TLS configuration for calls to entry VMs, nil for plaintext.
func (s security) clientTLS() *tls.Config {
	if s.certificates == nil {
		return nil
	}
	return s.certificates.ClientTLSConfig()
}

// scheme returns the URL scheme of calls to entry VMs.
func (s security) scheme() string {
	if s.certificates == nil {
		return "http"
	}
	return "https"
}

// newMessengers returns the messengers for calls to entry VMs and for calls to workers.
func (s *Server) newMessengers() (peers, workers *messenger.Messenger, err error) {
	timeout := messenger.WithTimeout(s.settings.Limits().CallTimeout())
	client := &http.Client{Transport: messenger.NewTransport(s.security.clientTLS())}
	peers, err = messenger.New(timeout, messenger.WithClient(client, s.security.scheme()))
	if err != nil {
		return nil, nil, err
	}
	if s.settings.TLS().Workers() {
		return peers, peers, nil
	}
	workers, err = messenger.New(timeout)
	return peers, workers, err
}

// watchCertificates reloads changed certificate files until ctx is done.
func (s *Server) watchCertificates(ctx context.Context) error {
	if s.security.certificates != nil {
		s.security.certificates.Watch(ctx, s.settings.TLS().ReloadInterval())
	}
	return nil
}

// serveDebug serves profiles on the debug address until ctx is done.
func (s *Server) serveDebug(ctx context.Context) error {
	if s.debug == nil {
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: debugTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return router.Serve(server, s.debug)
}
