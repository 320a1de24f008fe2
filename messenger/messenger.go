package messenger

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
)

// DefaultTimeout bounds a call whose context has no deadline.
const DefaultTimeout = 2 * time.Second

// MessageLimit is the largest message in bytes.
const MessageLimit = 4 << 20

// compressFloor is the size in bytes below which an answer isn't compressed: it
// would hardly get smaller, and each compressor holds most of a megabyte.
const compressFloor = 512

// compressLeast is the size in bytes from which messages are compressed; smaller
// ones cost more processor time than they save.
const compressLeast = 4 << 10

// Messenger makes calls to other processes and registers handlers for theirs.
type Messenger struct {
	client  connect.HTTPClient
	scheme  string        // "http" or "https"
	timeout time.Duration // above 0
	codec   codec
	clients sync.Map // of callKey to *connect.Client
}

// callKey names one client: connect binds a client to a URL.
type callKey struct{ address, procedure string }

// Option changes a Messenger under construction.
type Option func(*Messenger)

// WithClient sets the HTTP client and the scheme of its URLs.
func WithClient(client connect.HTTPClient, scheme string) Option {
	return func(m *Messenger) {
		m.client = client
		m.scheme = scheme
	}
}

// WithTimeout bounds each call whose context has no deadline.
func WithTimeout(d time.Duration) Option { return func(m *Messenger) { m.timeout = d } }

// New returns a Messenger over plain HTTP, changed by the options.
func New(options ...Option) (*Messenger, error) {
	codec, err := newCodec()
	if err != nil {
		return nil, err
	}
	m := &Messenger{client: &http.Client{Transport: NewTransport(nil)}, scheme: "http", timeout: DefaultTimeout, codec: codec}
	for _, option := range options {
		option(m)
	}
	return m, nil
}

// Mux is what a handler is registered with.
type Mux interface {
	Handle(pattern string, handler http.Handler)
}

// Handle registers a handler for the procedure, a path such as "/elector/fence".
// An error that it returns should come from connect.NewError; others travel as
// unknown.
func Handle[Req, Res any](m *Messenger, mux Mux, procedure string, handler func(context.Context, *Req) (*Res, error)) {
	mux.Handle(procedure, connect.NewUnaryHandler(procedure,
		func(ctx context.Context, request *connect.Request[Req]) (*connect.Response[Res], error) {
			response, err := handler(ctx, request.Msg)
			if err != nil {
				return nil, err
			}
			return connect.NewResponse(response), nil
		},
		connect.WithCodec(m.codec), connect.WithReadMaxBytes(MessageLimit), connect.WithCompressMinBytes(compressFloor)))
}

// Call sends a request to the procedure at address (host:port) and returns the
// answer, or an error whose connect.CodeOf tells its kind.
func Call[Req, Res any](ctx context.Context, m *Messenger, address, procedure string, request *Req) (*Res, error) {
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, m.timeout)
		defer cancel()
	}
	response, err := clientFor[Req, Res](m, callKey{address, procedure}).CallUnary(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// clientFor returns the client kept for the key, making it on first use.
func clientFor[Req, Res any](m *Messenger, key callKey) *connect.Client[Req, Res] {
	if known, ok := m.clients.Load(key); ok {
		return known.(*connect.Client[Req, Res])
	}
	client := connect.NewClient[Req, Res](m.client, m.scheme+"://"+key.address+key.procedure,
		connect.WithCodec(m.codec), connect.WithReadMaxBytes(MessageLimit), connect.WithCompressMinBytes(compressLeast))
	m.clients.Store(key, client)
	return client
}
