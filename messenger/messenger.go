package messenger

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
)

// DefaultTimeout is the default timeout of a call whose context has no deadline.
const DefaultTimeout = 2 * time.Second

// MessageLimit is the size in bytes of the largest message that is accepted.
const MessageLimit = 4 << 20

// minResponseCompress is the size in bytes from which responses are compressed. Smaller
// ones would hardly shrink, and each compressor holds most of a megabyte of memory.
const minResponseCompress = 512

// minRequestCompress is the size in bytes from which requests may be compressed.
// Compressing smaller ones costs more processor time than it saves. At present no request
// is compressed, since that needs connect.WithSendCompression.
const minRequestCompress = 4 << 10

// Messenger makes calls to other processes and registers the handlers of their calls. It
// is safe for concurrent use.
type Messenger struct {
	client  connect.HTTPClient
	scheme  string        // "http" or "https"
	timeout time.Duration // above 0
	codec   codec
	clients sync.Map // clientKey to *connect.Client[Req, Res] of the procedure
}

// clientKey identifies a client, since connect binds each client to one URL.
type clientKey struct{ address, procedure string }

// Option changes a Messenger under construction.
type Option func(*Messenger)

// WithClient sets the HTTP client for calls and the scheme of their URLs.
func WithClient(client connect.HTTPClient, scheme string) Option {
	return func(m *Messenger) {
		m.client = client
		m.scheme = scheme
	}
}

// WithTimeout sets the timeout of calls whose context has no deadline.
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

// Mux registers HTTP handlers, as http.ServeMux does.
type Mux interface {
	Handle(pattern string, handler http.Handler)
}

// Handle registers the handler of a procedure, which is a path such as
// "/elector/fence". The handler should return errors of connect.NewError; the caller
// receives any other error with connect.CodeUnknown.
func Handle[Req, Res any](m *Messenger, mux Mux, procedure string, handler func(context.Context, *Req) (*Res, error)) {
	mux.Handle(procedure, connect.NewUnaryHandler(procedure,
		func(ctx context.Context, request *connect.Request[Req]) (*connect.Response[Res], error) {
			response, err := handler(ctx, request.Msg)
			if err != nil {
				return nil, err
			}
			return connect.NewResponse(response), nil
		},
		connect.WithCodec(m.codec), connect.WithReadMaxBytes(MessageLimit), connect.WithCompressMinBytes(minResponseCompress)))
}

// Call calls the procedure of the process at address (host:port) and returns its
// response, or an error whose code connect.CodeOf returns.
func Call[Req, Res any](ctx context.Context, m *Messenger, address, procedure string, request *Req) (*Res, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, m.timeout)
		defer cancel()
	}
	response, err := clientFor[Req, Res](m, clientKey{address, procedure}).CallUnary(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// clientFor returns the client for the key, and creates it on first use.
func clientFor[Req, Res any](m *Messenger, key clientKey) *connect.Client[Req, Res] {
	if cached, ok := m.clients.Load(key); ok {
		return cached.(*connect.Client[Req, Res])
	}
	client := connect.NewClient[Req, Res](m.client, m.scheme+"://"+key.address+key.procedure,
		connect.WithCodec(m.codec), connect.WithReadMaxBytes(MessageLimit), connect.WithCompressMinBytes(minRequestCompress))
	m.clients.Store(key, client)
	return client
}
