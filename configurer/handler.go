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

// BasePath is the path that the operators' API is mounted at.
const BasePath = "/v1/operate"

// bodyLimit is the largest request body in bytes.
const bodyLimit = 4 << 20

// Caller is the authenticated caller of the operators' API.
type Caller struct {
	name string // id of the key; goes into the history as the author
	role Role
}

// NewCaller returns a caller of that name and role.
func NewCaller(name string, role Role) Caller { return Caller{name: name, role: role} }

// Handler serves the operators' API below BasePath.
type Handler struct {
	writer       *Writer
	copy         *Copy
	router       chi.Router
	authenticate func(*http.Request) (Caller, error)
	replicate    func(context.Context) []VMRevision
	vmRevisions  func(context.Context) []VMRevision
	keyUses      func(context.Context) (map[string]time.Time, error)
	usage        func(context.Context) Usage
	now          func() time.Time
	log          hclog.Logger
}

// HandlerOption configures a Handler.
type HandlerOption func(*Handler)

// WithAuthenticate sets the function that authenticates a request. By default, every call
// is denied.
func WithAuthenticate(authenticate func(*http.Request) (Caller, error)) HandlerOption {
	return func(h *Handler) { h.authenticate = authenticate }
}

// WithReplicator sets the replicator that passes changes to the other entry VMs and
// collects their revisions and uses of keys. By default, there are no other entry VMs.
func WithReplicator(r *Replicator) HandlerOption {
	return func(h *Handler) { h.replicate, h.vmRevisions, h.keyUses = r.Replicate, r.VMRevisions, r.Uses }
}

// WithUsage sets the function that returns the current usage, from which plans compute
// their effects. By default, nothing runs.
func WithUsage(usage func(context.Context) Usage) HandlerOption {
	return func(h *Handler) { h.usage = usage }
}

// WithHandlerLogger sets the logger. By default, nothing is logged.
func WithHandlerLogger(log hclog.Logger) HandlerOption {
	return func(h *Handler) { h.log = log.Named("config") }
}

// NewHandler returns a Handler that makes changes through w and reads from w or c.
func NewHandler(w *Writer, c *Copy, options ...HandlerOption) *Handler {
	h := &Handler{
		writer:       w,
		copy:         c,
		authenticate: func(*http.Request) (Caller, error) { return Caller{}, ErrDenied },
		usage:        func(context.Context) Usage { return Usage{} },
		keyUses:      func(context.Context) (map[string]time.Time, error) { return nil, nil },
		now:          time.Now,
		log:          hclog.NewNullLogger(),
	}
	own := func(context.Context) []VMRevision { return []VMRevision{{vm: "self", revision: c.Revision()}} }
	h.replicate, h.vmRevisions = own, own
	for _, option := range options {
		option(h)
	}
	h.router = h.routes()
	return h
}

// ServeHTTP serves a request. The handler must be mounted at BasePath by a chi router.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

// Routes returns the routes of the operators' API, such as "POST /v1/operate/plan",
// sorted.
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
	router.Get("/document", operationHandler(h, Viewer, h.document))
	router.Get("/history", operationHandler(h, Viewer, h.history))
	router.Get("/history/{revision}", operationHandler(h, Viewer, h.revision))
	router.Get("/force", operationHandler(h, Viewer, h.revisionsInForce))
	router.Get("/keys", operationHandler(h, Viewer, h.keys))
	router.Post("/plan", operationHandler(h, Viewer, h.plan))
	router.Post("/apply", operationHandler(h, Operator, h.apply))
	router.Post("/rollback", operationHandler(h, Operator, h.rollback))
	router.Post("/drain", operationHandler(h, Operator, h.drain))
	router.Post("/return", operationHandler(h, Operator, h.returnToService))
	router.Post("/withdraw", operationHandler(h, Operator, h.withdraw))
	router.Post("/grant", operationHandler(h, Operator, h.grant))
	router.Post("/limit", operationHandler(h, Operator, h.limit))
	return router
}

// call is one decoded request with its caller.
type call[Req any] struct {
	ctx       context.Context
	caller    Caller
	request   Req
	pathParam func(key string) string // returns a parameter of the path
}

// noBody is the request type of calls without a body.
type noBody struct{}

// operationHandler returns the HTTP handler of an operation that requires the role. It responds
// with the JSON of the result, or with a problem.
func operationHandler[Req, Res any](h *Handler, role Role, operation func(call[Req]) (Res, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		response, err := perform(h, role, w, r, operation)
		if err != nil {
			h.log.Info("operators' API call failed", "path", r.URL.Path, "error", err)
			newProblem(err).write(w)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(response) // fails only if the caller has gone
	}
}

// perform authenticates the caller, checks the role, decodes the body and calls the
// operation.
func perform[Req, Res any](h *Handler, role Role, w http.ResponseWriter, r *http.Request, operation func(call[Req]) (Res, error)) (response Res, err error) {
	caller, err := h.authenticate(r)
	if err != nil {
		return response, errors.Join(ErrDenied, err)
	}
	if caller.role != Operator && caller.role != role {
		return response, fmt.Errorf("%w: the role %q is required", ErrDenied, role)
	}
	c := call[Req]{ctx: r.Context(), caller: caller, pathParam: func(key string) string { return chi.URLParam(r, key) }}
	if _, empty := any(c.request).(noBody); !empty {
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&c.request); err != nil {
			return response, fmt.Errorf("%w: %w", ErrRequest, err)
		}
	}
	return operation(c)
}

// changeResponse waits until an accepted change is in force on all entry VMs, as long as
// Replicate does, and returns the change's response. It takes the results of a Writer's
// method; an error among them is returned.
func (h *Handler) changeResponse(ctx context.Context, revision uint64, err error) (changeWire, error) {
	if err != nil {
		return changeWire{}, err
	}
	revisions := h.replicate(ctx)
	wire := changeWire{Revision: revision, Everywhere: true, Force: newHoldingWires(revisions)}
	for _, vm := range revisions {
		wire.Everywhere = wire.Everywhere && vm.err == nil && vm.revision >= revision
	}
	return wire, nil
}

// parse decodes and checks the declarations in the files.
func (f filesWire) parse() (*Document, error) {
	files := make([]loader.File, 0, len(f))
	for name, text := range f {
		files = append(files, loader.NewFile(name, []byte(text)))
	}
	return Parse(files...)
}
