package runner

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"filberthaven.example/limiter"
	"filberthaven.example/loader"
	"filberthaven.example/platform"
)

// Limits bound what clients can take from the VM.
type Limits struct {
	bodies      int64         // bytes of all callers' bodies that are read at once
	connections int           // of callers
	peers       int           // connections of other entry VMs
	stall       time.Duration // longest time without progress of a body
	read        time.Duration // longest time for a whole body, however long the caller waits
}

const (
	// smallestMemory is the memory in bytes of the smallest entry VM, which is assumed if the
	// settings give none.
	smallestMemory = 144 << 20
	// smallestFiles is the number of descriptors of the smallest entry VM, which is assumed
	// if the settings give none.
	smallestFiles = 3075
	// bodyShare is the part of the memory for bodies, as a divisor: on the smallest VM 115 of
	// the largest size.
	bodyShare = 5
	// peerShare is the part of that for bodies of calls between entry VMs, as a divisor.
	peerShare = 2
	// connectionMemory is the memory that a connection takes in bytes: reader, writer, stacks
	// and a header of 16 KB that is being read.
	connectionMemory = 48 << 10
	// connectionShare is the part of the memory for callers' connections, as a divisor.
	connectionShare = 4
	// callerFiles and peerFiles are the parts of the descriptors for connections of callers
	// and of other entry VMs, as divisors.
	callerFiles = 5
	peerFiles   = 4
	// maxConnections and maxPeers bound the defaults on large VMs, where descriptors are
	// needed for connections to workers. 33 entry VMs have up to 528 connections to one.
	maxConnections = 1000
	maxPeers       = 768
	// operatorConnections is the limit for the readiness check and for the metrics page, each
	// of which has a few clients.
	operatorConnections = 32
	// defaultRead is the longest time for a whole body: several times the time-outs of
	// callers.
	defaultRead = 30 * time.Second
	// operatorTimeout limits reading a request of the readiness check or the metrics page.
	operatorTimeout = 5 * time.Second
	// writeTimeout is how long a client may leave a response unread.
	writeTimeout = 5 * time.Second
	// callerBuffer and peerBuffer are the sizes of the receive buffers of connections in
	// bytes. The kernel doubles them. Calls between data centres carry larger messages.
	callerBuffer = 16 << 10
	peerBuffer   = 64 << 10
	// messageFactor is the number of bytes that a byte of a message takes: a buffer that
	// grows by doubling, and the decoded message.
	messageFactor = 3
)

// defaultLimits returns the limits for a VM with that memory in bytes and that number of
// descriptors, 0 if not known.
func defaultLimits(memory int64, files int) Limits {
	if memory == 0 {
		memory = smallestMemory
	}
	if files == 0 {
		files = smallestFiles
	}
	fitting := int(memory / connectionShare / connectionMemory)
	return Limits{
		bodies:      max(memory/bodyShare, 1<<20),
		connections: max(min(files/callerFiles, fitting, maxConnections), 1),
		peers:       max(min(files/peerFiles, fitting, maxPeers), 1),
		stall:       limiter.DefaultStall,
		read:        defaultRead,
	}
}

// decode reads the section. Absent values are those of fallback.
func (l *Limits) decode(section *loader.Section, fallback Limits) {
	l.bodies = loader.Get(section, "bodies", loader.Size, fallback.bodies, loader.Between[int64](1<<20, 1<<40))
	l.connections = loader.Get(section, "connections", loader.Int, fallback.connections, loader.Between(1, 1<<20))
	l.peers = loader.Get(section, "peers", loader.Int, fallback.peers, loader.Between(1, 1<<20))
	l.stall = loader.Get(section, "stall", loader.Duration, fallback.stall, loader.Between(10*time.Millisecond, time.Hour))
	l.read = loader.Get(section, "read", loader.Duration, fallback.read, loader.Between(100*time.Millisecond, time.Hour))
}

// newLimiters creates the limiters of callers and of other entry VMs. They have a budget each,
// so that callers can't use up that of the calls by which the fleet is run.
func (r *Runner) newLimiters() error {
	limits := &r.settings.limits
	if *limits == (Limits{}) {
		*limits = defaultLimits(r.settings.memory, r.settings.files)
	}
	var err error
	r.callerLimiter, err = limiter.New(limiter.WithBudget(limits.bodies), limiter.WithStall(limits.stall), limiter.WithLogger(r.log), limiter.WithRegistry(r.registry))
	if err != nil {
		return err
	}
	r.peerLimiter, err = limiter.New(limiter.WithBudget(limits.bodies/peerShare), limiter.WithStall(limits.stall), limiter.WithLogger(r.log), limiter.WithRegistry(r.registry))
	return err
}

// binding is a listener with its handler and limits.
type binding struct {
	name, address string
	server        *http.Server
	limiter       *limiter.Limiter
	connections   int
	buffer        int // size of the receive buffers of connections in bytes
}

// bindings returns the listeners of the VM.
func (r *Runner) bindings(metrics http.Handler) []binding {
	limits := r.settings.limits
	callers := r.callerLimiter.Handler(r.receiver, limiter.Policy{
		Timeout: r.bodyTimeout,
		Refuse: func(w http.ResponseWriter, status int, reason string) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(status)
			_, _ = w.Write(platform.ErrorBody(reason)) // the connection is closed anyway
		},
	})
	// A peer reads this error as that of a call that was not carried out by a VM that works.
	exhausted := func(cause error) error { return connect.NewError(connect.CodeResourceExhausted, cause) }
	internal := r.peerLimiter.Handler(r.internalHandler(), limiter.Policy{
		Factor: messageFactor, Refusal: exhausted, Timeout: func(*http.Request) time.Duration { return limits.read },
	})
	return []binding{
		{"callers", r.settings.callers, r.newServer(callers), r.callerLimiter, limits.connections, callerBuffer},
		{"ready", r.settings.ready, r.newOperatorServer(r.receiver.ReadinessHandler()), r.callerLimiter, operatorConnections, callerBuffer},
		{"internal", r.settings.internal, r.newServer(internal), r.peerLimiter, limits.peers, peerBuffer},
		{"metrics", r.settings.metrics, r.newOperatorServer(metrics), r.callerLimiter, operatorConnections, callerBuffer},
	}
}

// listen opens the listener.
func (b *binding) listen() (net.Listener, error) {
	listener, err := net.Listen("tcp", b.address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", b.name, err)
	}
	return b.limiter.Listen(listener, b.name, b.connections, limiter.WithWriteTimeout(writeTimeout), limiter.WithSocketBuffer(b.buffer)), nil
}

// bodyTimeout returns the time in which the body of a caller's request has to arrive.
func (r *Runner) bodyTimeout(request *http.Request) time.Duration {
	return min(platform.RequestTimeout(request.Header, defaultCallerTimeout), r.settings.limits.read)
}

// newOperatorServer returns the server of the readiness check or of the metrics page.
func (r *Runner) newOperatorServer(handler http.Handler) *http.Server {
	server := r.newServer(limiter.Bodiless(handler))
	server.ReadTimeout = operatorTimeout
	return server
}
