package commands

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"

	"filberthaven.example/authenticator"
	"filberthaven.example/configurer"
	"filberthaven.example/emulator"
	"filberthaven.example/keeper"
	"filberthaven.example/messenger"
	"filberthaven.example/server"
	"github.com/go-chi/chi/v5"
)

// fleet is a fixture of three entry VMs with an in-memory key-value service.
type fleet struct {
	store         *emulator.Store
	vms           []*entryVM
	operator      authenticator.Key // accepted before the first revision too
	operatorToken string            // the operator's key as callers send it
	load          *loadGenerator
	cancel        context.CancelFunc
	group         sync.WaitGroup
}

// entryVM is the part of an entry VM that operators use: the operators' API, status and
// the exchange of revisions.
type entryVM struct {
	id          string
	config      *configurer.Copy
	callers     *httptest.Server // operators' API, status, and /use for any valid key
	internal    *httptest.Server // exchange between entry VMs
	partitioned atomic.Bool      // while set, internal aborts all calls
	client      *http.Client     // of callers; not http.DefaultClient, whose idle connections httptest.Server.Close closes
}

func startFleet() (*fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{store: emulator.NewStore(), cancel: cancel}
	f.operator, f.operatorToken = authenticator.Generate("", authenticator.OperatorRole)
	for i := range 3 {
		vm, err := f.startVM(fmt.Sprintf("entry-%d", i+1))
		if err != nil {
			return nil, err
		}
		f.vms = append(f.vms, vm)
		mirror := keeper.NewMirror(f.store.Client(vm.id).KV(), "live/")
		mirror.Subscribe(configurer.LiveKey, vm.config.Observe)
		f.group.Go(func() { _ = mirror.Run(ctx) })
	}
	return f, nil
}

func (f *fleet) stop() {
	f.cancel()
	for _, vm := range f.vms {
		vm.client.CloseIdleConnections()
		vm.callers.Close()
		vm.internal.Close()
	}
	f.group.Wait()
}

func (f *fleet) startVM(id string) (*entryVM, error) {
	m, err := messenger.New()
	if err != nil {
		return nil, err
	}
	vm := &entryVM{id: id, config: configurer.NewCopy(), client: &http.Client{Transport: &http.Transport{}}}
	exchange := http.NewServeMux()
	vm.config.Handle(m, exchange)
	vm.internal = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if vm.partitioned.Load() {
			panic(http.ErrAbortHandler)
		}
		exchange.ServeHTTP(w, r)
	}))
	keys, err := authenticator.New(authenticator.WithLookup(f.lookup(vm.config)))
	if err != nil {
		return nil, err
	}
	replicator := configurer.NewReplicator(id, vm.config, m, func() []configurer.Peer { return f.peers(id) },
		configurer.WithLastUse(keys.LastUse))
	replicator.Handle(m, exchange)
	writer := configurer.NewWriter(f.store.Client(id).KV(), vm.config)
	router := chi.NewRouter()
	router.Mount(configurer.BasePath, configurer.NewHandler(writer, vm.config,
		configurer.WithReplicator(replicator), configurer.WithAuthenticate(authenticate(keys)), configurer.WithUsage(usage)))
	router.Get("/use", func(w http.ResponseWriter, r *http.Request) {
		if _, err := keys.Authenticate(r); err != nil {
			w.WriteHeader(http.StatusUnauthorized)
		}
	})
	router.Handle("/v1/status", server.NewStatusHandler(vm.status))
	vm.callers = httptest.NewServer(router)
	return vm, nil
}

// lookup returns a function that finds keys in a copy of the declarations, or only the
// operator's key before the first revision.
func (f *fleet) lookup(c *configurer.Copy) func(string) (authenticator.Key, bool) {
	return func(id string) (authenticator.Key, bool) {
		if c.Current() == nil {
			return f.operator, id == f.operator.ID()
		}
		key, known := c.Current().Key(id)
		role := authenticator.TeamRole
		if key.Role() != configurer.NoRole {
			role, _ = authenticator.ParseRole(string(key.Role()))
		}
		return authenticator.NewKey(id, key.Hash(), key.Team(), role, key.Withdrawn(), key.Expires()), known
	}
}

// authenticate returns a function that authenticates the callers of the operators' API.
func authenticate(keys *authenticator.Authenticator) func(*http.Request) (configurer.Caller, error) {
	return func(r *http.Request) (configurer.Caller, error) {
		principal, err := keys.Authenticate(r)
		return configurer.NewCaller(principal.Key(), configurer.Role(principal.Role().String())), err
	}
}

// usage returns a fixed use of processors and tasks.
func usage(context.Context) configurer.Usage {
	return configurer.NewUsage(map[string]int64{"cremona": 120_000},
		map[string]configurer.Load{"pianura-b": configurer.NewLoad(40, 5)})
}

// peers returns the entry VMs other than the one with that id.
func (f *fleet) peers(id string) []configurer.Peer {
	var peers []configurer.Peer
	for _, vm := range f.vms {
		if vm.id != id {
			peers = append(peers, configurer.NewPeer(vm.id, vm.internal.Listener.Addr().String()))
		}
	}
	return peers
}

func (f *fleet) setStore(state string) error {
	switch state {
	case "down":
		f.store.SetFaults(emulator.Down())
	case "lossy":
		f.store.SetFaults(emulator.LoseResponses(1))
	case "up":
		f.store.SetFaults()
	default:
		return fmt.Errorf("unknown: store %s", state)
	}
	return nil
}

// status returns only the parts that the scripts use: the revision and the data
// centres in force.
func (vm *entryVM) status(context.Context) server.Status {
	status := server.Status{VM: vm.id, Complete: true, Centre: "pianura-a", Revision: vm.config.Revision(), Platform: server.PlatformStatus{Contact: true}}
	document := vm.config.Current()
	if document == nil {
		return status
	}
	for centre := range document.Centres() {
		status.Centres = append(status.Centres, server.CentreStatus{Name: centre.Name(), State: string(centre.State()), Reason: centre.Reason()})
	}
	return status
}

// accepts reports whether the entry VM accepts a key.
func (vm *entryVM) accepts(token string) (bool, error) {
	request, err := http.NewRequest(http.MethodGet, vm.callers.URL+"/use", http.NoBody)
	if err != nil {
		return false, err
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := vm.client.Do(request)
	if err != nil {
		return false, err
	}
	return response.StatusCode == http.StatusOK, response.Body.Close()
}

// loadGenerator sends requests with a key to each entry VM until it is stopped.
type loadGenerator struct {
	token         atomic.Pointer[string]
	sent, refused atomic.Int64
	lastRefusal   atomic.Value // string: entry VM and error of the last refused request
	done          chan struct{}
	group         sync.WaitGroup
}

func startLoad(vms []*entryVM, token string) *loadGenerator {
	g := &loadGenerator{done: make(chan struct{})}
	g.use(token)
	for _, vm := range vms {
		g.group.Go(func() { g.run(vm) })
	}
	return g
}

// use changes the key of the next requests.
func (g *loadGenerator) use(token string) { g.token.Store(&token) }

func (g *loadGenerator) run(vm *entryVM) {
	for {
		select {
		case <-g.done:
			return
		default:
		}
		ok, err := vm.accepts(*g.token.Load())
		g.sent.Add(1)
		if !ok || err != nil {
			g.refused.Add(1)
			g.lastRefusal.Store(fmt.Sprintf("%s: %v", vm.id, err))
		}
	}
}

func (g *loadGenerator) stop() (sent, refused int64) {
	close(g.done)
	g.group.Wait()
	return g.sent.Load(), g.refused.Load()
}

var errNoKey = errors.New("no key in the output")

// parseGrant returns the id and the key from the output of grant.
func parseGrant(output string) (id, token string, err error) {
	for line := range strings.SplitSeq(output, "\n") {
		fields := strings.Fields(line)
		switch {
		case len(fields) != 2:
		case fields[0] == "id":
			id = fields[1]
		case fields[0] == "key":
			token = fields[1]
		}
	}
	if id == "" || token == "" {
		return "", "", errNoKey
	}
	return id, token, nil
}
