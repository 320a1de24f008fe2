package configurer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"filberthaven.example/loader"
	"github.com/go-chi/chi/v5"
	"github.com/hashicorp/go-hclog"
)

// BasePath is where the operators' API is mounted.
const BasePath = "/v1/operate"

// bodyLimit is the largest body of a request in bytes.
const bodyLimit = 4 << 20

// Caller is who calls the operators' API.
type Caller struct {
	name string // id of the key; goes into the history as the author
	role Role
}

// NewCaller returns a caller of that name and role.
func NewCaller(name string, role Role) Caller { return Caller{name: name, role: role} }

// Handler answers the operators' API below BasePath.
type Handler struct {
	writer   *Writer
	copy     *Copy
	router   chi.Router
	identify func(*http.Request) (Caller, error)
	spread   func(context.Context) []VMRevision
	report   func(context.Context) []VMRevision
	uses     func(context.Context) (map[string]time.Time, error)
	usage    func(context.Context) Usage
	now      func() time.Time
	log      hclog.Logger
}

// HandlerOption changes a Handler under construction.
type HandlerOption func(*Handler)

// WithAuthenticate sets what tells who calls. Without it every call is denied.
func WithAuthenticate(identify func(*http.Request) (Caller, error)) HandlerOption {
	return func(h *Handler) { h.identify = identify }
}

// WithReplicator sets what passes changes to the other entry VMs.
func WithReplicator(s *Replicator) HandlerOption {
	return func(h *Handler) { h.spread, h.report, h.uses = s.Replicate, s.VMRevisions, s.Uses }
}

// WithUsage sets what tells the usage that plans are weighed against.
func WithUsage(usage func(context.Context) Usage) HandlerOption {
	return func(h *Handler) { h.usage = usage }
}

// WithHandlerLogger sets the logger.
func WithHandlerLogger(log hclog.Logger) HandlerOption {
	return func(h *Handler) { h.log = log.Named("config") }
}

// NewHandler returns the handler of the operators' API, changed by the options.
func NewHandler(w *Writer, c *Copy, options ...HandlerOption) *Handler {
	h := &Handler{
		writer:   w,
		copy:     c,
		identify: func(*http.Request) (Caller, error) { return Caller{}, ErrDenied },
		usage:    func(context.Context) Usage { return Usage{} },
		uses:     func(context.Context) (map[string]time.Time, error) { return nil, nil },
		now:      time.Now,
		log:      hclog.NewNullLogger(),
	}
	own := func(context.Context) []VMRevision { return []VMRevision{{vm: "self", revision: c.Revision()}} }
	h.spread, h.report = own, own
	for _, option := range options {
		option(h)
	}
	h.router = h.routes()
	return h
}

// ServeHTTP answers a request. The handler is mounted at BasePath with chi.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

// Routes returns the routes of the operators' API, such as "POST /v1/operate/plan", in
// alphabetical order.
func (h *Handler) Routes() []string {
	var routes []string
	walk := func(method, route string, _ http.Handler, _ ...func(http.Handler) http.Handler) error {
		routes = append(routes, method+" "+BasePath+route)
		return nil
	}
	_ = chi.Walk(h.router, walk) // walk returns no error
	slices.Sort(routes)
	return routes
}

func (h *Handler) routes() chi.Router {
	router := chi.NewRouter()
	router.Get("/document", endpoint(h, Viewer, h.document))
	router.Get("/history", endpoint(h, Viewer, h.history))
	router.Get("/history/{revision}", endpoint(h, Viewer, h.former))
	router.Get("/force", endpoint(h, Viewer, h.force))
	router.Get("/keys", endpoint(h, Viewer, h.keys))
	router.Post("/plan", endpoint(h, Viewer, h.plan))
	router.Post("/apply", endpoint(h, Operator, h.apply))
	router.Post("/rollback", endpoint(h, Operator, h.rollback))
	router.Post("/drain", endpoint(h, Operator, h.drain))
	router.Post("/return", endpoint(h, Operator, h.takeBack))
	router.Post("/withdraw", endpoint(h, Operator, h.withdraw))
	router.Post("/grant", endpoint(h, Operator, h.grant))
	router.Post("/limit", endpoint(h, Operator, h.limit))
	return router
}

// call is one request with its caller.
type call[Req any] struct {
	ctx     context.Context
	caller  Caller
	request Req
	path    func(key string) string // parameters of the path
}

// noBody is the request of a call without a body.
type noBody struct{}

// endpoint returns the handler that checks the role, decodes, calls answer and encodes.
func endpoint[Req, Res any](h *Handler, role Role, answer func(call[Req]) (Res, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		response, err := perform(h, role, w, r, answer)
		if err != nil {
			h.log.Info("call refused", "path", r.URL.Path, "error", err)
			newProblem(err).write(w)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(response) // the caller has gone if this fails
	}
}

func perform[Req, Res any](h *Handler, role Role, w http.ResponseWriter, r *http.Request, answer func(call[Req]) (Res, error)) (response Res, err error) {
	caller, err := h.identify(r)
	if err != nil {
		return response, errors.Join(ErrDenied, err)
	}
	if caller.role != Operator && caller.role != role {
		return response, fmt.Errorf("%w: the role %q is required", ErrDenied, role)
	}
	c := call[Req]{ctx: r.Context(), caller: caller, path: func(key string) string { return chi.URLParam(r, key) }}
	if _, empty := any(c.request).(noBody); !empty {
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&c.request); err != nil {
			return response, fmt.Errorf("%w: %w", ErrRequest, err)
		}
	}
	return answer(c)
}

// accepted waits until the change is in force, and answers it.
func (h *Handler) accepted(ctx context.Context, revision uint64, err error) (changeWire, error) {
	if err != nil {
		return changeWire{}, err
	}
	holdings := h.spread(ctx)
	wire := changeWire{Revision: revision, Everywhere: true, Force: newHoldingWires(holdings)}
	for _, holding := range holdings {
		wire.Everywhere = wire.Everywhere && holding.err == nil && holding.revision >= revision
	}
	return wire, nil
}

// parse decodes declarations sent by their names.
func (f filesWire) parse() (*Document, error) {
	files := make([]loader.File, 0, len(f))
	for name, text := range f {
		files = append(files, loader.NewFile(name, []byte(text)))
	}
	return Parse(files...)
}
