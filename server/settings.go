package server

import (
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"filberthaven.example/loader"
)

// Defaults of the settings.
const (
	defaultMaxBody        = 1 << 20 // bytes
	defaultMaxHeader      = 64 << 10
	defaultReadTimeout    = 10 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
	defaultCallTimeout    = 2 * time.Second
	defaultDrainTimeout   = 30 * time.Second
	defaultReloadInterval = 10 * time.Second
	// defaultConnections allows for all callers of an entry VM, and for the long polls of
	// jobs.
	defaultConnections = 4000
	// defaultBodies is the number of bytes of all bodies that a listener reads at once: those
	// of 340 jobs of the largest size.
	defaultBodies = 64 << 20
)

// ErrPlaintext means that a VM would serve an address beyond loopback without TLS,
// although the settings don't permit it.
var ErrPlaintext = errors.New("TLS files are required beyond loopback, unless plaintext = yes")

// Settings holds the immutable settings with which an entry VM starts.
type Settings struct {
	id           string   // unique in the fleet; never empty
	centre       string   // one of centres
	listen       string   // host:port for callers and operators
	internal     string   // host:port for entry VMs and workers
	advertise    string   // host:port at which others reach internal
	debug        string   // loopback host:port for pprof; empty: none
	platform     string   // URL of the platform, without a trailing slash
	peers        []string // addresses (host:port) of other entry VMs
	centres      []Centre // sorted by name if read from a file
	logging      Logging
	limits       Limits
	tls          TLS
	drainTimeout time.Duration // above 0
}

// Centre is a data centre of the settings, which is used until declarations are in force.
type Centre struct {
	name   string
	shards int // at least 1
}

// NewCentre returns a data centre with the given number of shards, but at least 1.
func NewCentre(name string, shards int) Centre { return Centre{name: name, shards: max(shards, 1)} }

// Name returns the name of the data centre.
func (c Centre) Name() string { return c.name }

// Shards returns the names of the shards, such as pianura-a.0.
func (c Centre) Shards() []string {
	names := make([]string, c.shards)
	for i := range names {
		names[i] = fmt.Sprintf("%s.%d", c.name, i)
	}
	return names
}

// Logging holds the level and the format of the log.
type Logging struct {
	level string // trace, debug, info, warn or error
	json  bool
}

// Level returns the lowest level that is logged.
func (l Logging) Level() string { return l.level }

// JSON reports whether log lines are JSON objects.
func (l Logging) JSON() bool { return l.json }

// Limits holds the settings for requests of callers and for calls to other processes. Of
// those for requests, bodies, connections and stall are applied; the router has fixed bounds
// for the others.
type Limits struct {
	maxBody     int64         // largest body of a request in bytes
	maxHeader   int           // largest header of a request in bytes
	readTimeout time.Duration // timeout for reading a request's header and body
	idleTimeout time.Duration // timeout of a connection without requests
	callTimeout time.Duration // timeout of a call to the platform or another entry VM
	bodies      int64         // bytes of the bodies that are read at once, of each listener
	connections int           // largest number of open connections of each listener
	stall       time.Duration // longest time without progress of a body
}

// MaxBody returns the largest body of a request in bytes.
func (l Limits) MaxBody() int64 { return l.maxBody }

// MaxHeader returns the largest header of a request in bytes.
func (l Limits) MaxHeader() int { return l.maxHeader }

// ReadTimeout returns the timeout for reading a request.
func (l Limits) ReadTimeout() time.Duration { return l.readTimeout }

// IdleTimeout returns how long a connection without requests stays open.
func (l Limits) IdleTimeout() time.Duration { return l.idleTimeout }

// Bodies returns how many bytes the bodies that are read at once may take, for each listener.
func (l Limits) Bodies() int64 { return l.bodies }

// Connections returns the largest number of open connections of each listener.
func (l Limits) Connections() int { return l.connections }

// Stall returns the longest time without progress of a body.
func (l Limits) Stall() time.Duration { return l.stall }

// CallTimeout returns the timeout of calls to the platform and to other entry VMs.
func (l Limits) CallTimeout() time.Duration { return l.callTimeout }

// TLS holds the paths of the certificate files, and where TLS is used. Either all paths
// are empty or all are set.
type TLS struct {
	certificate      string
	key              string
	authority        string
	reloadInterval   time.Duration // time between two checks of the files for changes
	plaintextAllowed bool          // permission to serve beyond loopback without TLS
	coversWorkers    bool          // calls to workers use TLS too
}

// Certificate returns the path of the PEM certificate, empty without TLS.
func (t TLS) Certificate() string { return t.certificate }

// Key returns the path of the PEM private key.
func (t TLS) Key() string { return t.key }

// Authority returns the path of the PEM certificate of the authority that signs the
// certificates of entry VMs.
func (t TLS) Authority() string { return t.authority }

// ReloadInterval returns the time between two checks of the files for changes.
func (t TLS) ReloadInterval() time.Duration { return t.reloadInterval }

// Plaintext reports whether serving beyond loopback without TLS is permitted.
func (t TLS) Plaintext() bool { return t.plaintextAllowed }

// Workers reports whether workers are called over TLS, with the entry VM's certificate.
func (t TLS) Workers() bool { return t.Enabled() && t.coversWorkers }

// Enabled reports whether certificate files are set.
func (t TLS) Enabled() bool { return t.certificate != "" }

// Option changes Settings under construction.
type Option func(*Settings)

// WithID sets the id of the VM.
func WithID(id string) Option { return func(s *Settings) { s.id = id } }

// WithCentre sets the data centre of the VM.
func WithCentre(name string) Option { return func(s *Settings) { s.centre = name } }

// WithListen sets the address for callers and operators.
func WithListen(address string) Option { return func(s *Settings) { s.listen = address } }

// WithInternal sets the address for entry VMs and workers, and the address at
// which they reach it.
func WithInternal(listen, advertise string) Option {
	return func(s *Settings) { s.internal, s.advertise = listen, advertise }
}

// WithPlatform sets the URL of the platform.
func WithPlatform(url string) Option { return func(s *Settings) { s.platform = url } }

// WithPeers sets addresses of other entry VMs, which are used until the platform's list
// is known.
func WithPeers(addresses ...string) Option { return func(s *Settings) { s.peers = addresses } }

// WithCentres sets the data centres that are used until declarations are in force.
func WithCentres(centres ...Centre) Option { return func(s *Settings) { s.centres = centres } }

// WithLogging sets the level and the format of the log.
func WithLogging(level string, json bool) Option {
	return func(s *Settings) { s.logging = Logging{level: level, json: json} }
}

// WithDrainTimeout sets how long a shutdown may take until requests in flight are interrupted.
func WithDrainTimeout(d time.Duration) Option { return func(s *Settings) { s.drainTimeout = d } }

// WithTLS sets the certificate files.
func WithTLS(certificate, key, authority string) Option {
	return func(s *Settings) {
		s.tls.certificate, s.tls.key, s.tls.authority = certificate, key, authority
	}
}

// NewSettings returns settings that listen on free loopback ports, changed by the
// options. It returns an error if the settings contradict each other.
func NewSettings(options ...Option) (*Settings, error) {
	s := defaultSettings()
	for _, option := range options {
		option(s)
	}
	if s.advertise == "" {
		s.advertise = s.internal
	}
	if faults := s.check(); len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

func defaultSettings() *Settings {
	return &Settings{
		id:       "vm-" + rand.Text()[:10],
		listen:   "127.0.0.1:0",
		internal: "127.0.0.1:0",
		logging:  Logging{level: "info"},
		limits: Limits{
			maxBody: defaultMaxBody, maxHeader: defaultMaxHeader, readTimeout: defaultReadTimeout, idleTimeout: defaultIdleTimeout, callTimeout: defaultCallTimeout,
			bodies: defaultBodies, connections: defaultConnections, stall: defaultReadTimeout,
		},
		tls:          TLS{reloadInterval: defaultReloadInterval, coversWorkers: true},
		drainTimeout: defaultDrainTimeout,
	}
}

// check returns the contradictions between settings, each with its section and key.
func (s *Settings) check() loader.Errors {
	var faults loader.Errors
	addError := func(section, key string, err error) {
		faults = append(faults, loader.NewError(section, "", key, err))
	}
	if len(s.centres) > 0 && !slices.ContainsFunc(s.centres, func(c Centre) bool { return c.name == s.centre }) {
		addError("vm", "centre", fmt.Errorf("no section [centre %q]", s.centre))
	}
	if host, _, err := net.SplitHostPort(s.advertise); err == nil {
		if ip := net.ParseIP(host); ip != nil && ip.IsUnspecified() {
			addError("vm", "advertise", errors.New("others can't reach an unspecified address"))
		}
	}
	files := []string{s.tls.certificate, s.tls.key, s.tls.authority}
	if slices.Contains(files, "") && slices.ContainsFunc(files, func(f string) bool { return f != "" }) {
		addError("tls", "certificate", errors.New("certificate, key and authority go together"))
	}
	exposed := !isLoopback(s.listen) || !isLoopback(s.internal)
	if exposed && !s.tls.Enabled() && !s.tls.plaintextAllowed {
		addError("tls", "plaintext", ErrPlaintext)
	}
	if s.debug != "" && !isLoopback(s.debug) {
		addError("vm", "debug", errors.New("want a loopback address"))
	}
	return faults
}

// isLoopback reports whether the address can be reached from this machine only.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// ID returns the id of the VM.
func (s *Settings) ID() string { return s.id }

// Centre returns the data centre of the VM.
func (s *Settings) Centre() string { return s.centre }

// Listen returns the address for callers and operators.
func (s *Settings) Listen() string { return s.listen }

// Internal returns the address for entry VMs and workers.
func (s *Settings) Internal() string { return s.internal }

// Advertise returns the address at which other processes reach Internal.
func (s *Settings) Advertise() string { return s.advertise }

// Debug returns the loopback address for pprof, empty for none.
func (s *Settings) Debug() string { return s.debug }

// Platform returns the URL of the platform.
func (s *Settings) Platform() string { return s.platform }

// Peers returns addresses of other entry VMs, which are used until the platform's list
// is known. It may be empty.
func (s *Settings) Peers() []string { return slices.Clone(s.peers) }

// Centres returns the data centres that are used until declarations are in force.
func (s *Settings) Centres() []Centre { return slices.Clone(s.centres) }

// Logging returns the level and the format of the log.
func (s *Settings) Logging() Logging { return s.logging }

// Limits returns the bounds on requests and calls.
func (s *Settings) Limits() Limits { return s.limits }

// TLS returns the TLS settings.
func (s *Settings) TLS() TLS { return s.tls }

// DrainTimeout returns how long a shutdown may take until requests in flight are interrupted.
func (s *Settings) DrainTimeout() time.Duration { return s.drainTimeout }
