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

// fleet is three entry VMs with a key-value service in memory.
type fleet struct {
	store    *emulator.Store
	vms      []*entryVM
	operator authenticator.Key // valid before the first revision as well
	token    string
	load     *sender
	cancel   context.CancelFunc
	group    sync.WaitGroup
}

// entryVM is what operators see of an entry VM.
type entryVM struct {
	id       string
	copied   *configurer.Copy
	callers  *httptest.Server // operators' API, and /use for any valid key
	internal *httptest.Server // exchange between entry VMs
	cut      atomic.Bool      // others can't reach internal
	client   *http.Client     // of callers; a closing httptest.Server cuts the default one
}

func startFleet() (*fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{store: emulator.NewStore(), cancel: cancel}
	f.operator, f.token = authenticator.Generate("", authenticator.OperatorRole)
	for i := range 3 {
		vm, err := f.startVM(fmt.Sprintf("entry-%d", i+1))
		if err != nil {
			return nil, err
		}
		f.vms = append(f.vms, vm)
		mirror := keeper.NewMirror(f.store.Client(vm.id).KV(), "live/")
		mirror.Subscribe(configurer.LiveKey, vm.copied.Observe)
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
	vm := &entryVM{id: id, copied: configurer.NewCopy(), client: &http.Client{Transport: &http.Transport{}}}
	exchange := http.NewServeMux()
	vm.copied.Handle(m, exchange)
	vm.internal = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if vm.cut.Load() {
			panic(http.ErrAbortHandler)
		}
		exchange.ServeHTTP(w, r)
	}))
	keys, err := authenticator.New(authenticator.WithLookup(f.lookup(vm.copied)))
	if err != nil {
		return nil, err
	}
	spreader := configurer.NewReplicator(id, vm.copied, m, func() []configurer.Peer { return f.peers(id) },
		configurer.WithLastUse(keys.LastUse))
	spreader.Handle(m, exchange)
	writer := configurer.NewWriter(f.store.Client(id).KV(), vm.copied)
	router := chi.NewRouter()
	router.Mount(configurer.BasePath, configurer.NewHandler(writer, vm.copied,
		configurer.WithReplicator(spreader), configurer.WithAuthenticate(identify(keys)), configurer.WithUsage(usage)))
	router.Get("/use", func(w http.ResponseWriter, r *http.Request) {
		if _, err := keys.Authenticate(r); err != nil {
			w.WriteHeader(http.StatusUnauthorized)
		}
	})
	router.Handle("/v1/status", server.NewStatusHandler(vm.status))
	vm.callers = httptest.NewServer(router)
	return vm, nil
}

// lookup finds keys in a copy, and the operator's before the first revision.
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

func identify(keys *authenticator.Authenticator) func(*http.Request) (configurer.Caller, error) {
	return func(r *http.Request) (configurer.Caller, error) {
		principal, err := keys.Authenticate(r)
		return configurer.NewCaller(principal.Key(), configurer.Role(principal.Role().String())), err
	}
}

func usage(context.Context) configurer.Usage {
	return configurer.NewUsage(map[string]int64{"cremona": 120_000},
		map[string]configurer.Load{"pianura-b": configurer.NewLoad(40, 5)})
}

// peers returns the other entry VMs.
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
		f.store.SetFaults(emulator.LoseAnswers(1))
	case "up":
		f.store.SetFaults()
	default:
		return fmt.Errorf("unknown: store %s", state)
	}
	return nil
}

// status tells only what the entry VM has in force.
func (vm *entryVM) status(context.Context) server.Status {
	status := server.Status{VM: vm.id, Complete: true, Centre: "pianura-a", Revision: vm.copied.Revision(), Platform: server.PlatformStatus{Contact: true}}
	document := vm.copied.Current()
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
	answer, err := vm.client.Do(request)
	if err != nil {
		return false, err
	}
	return answer.StatusCode == http.StatusOK, answer.Body.Close()
}

// sender sends requests with a key to all entry VMs until it is stopped.
type sender struct {
	token         atomic.Pointer[string]
	sent, refused atomic.Int64
	last          atomic.Value // text of the last refusal
	done          chan struct{}
	group         sync.WaitGroup
}

func startLoad(vms []*entryVM, token string) *sender {
	s := &sender{done: make(chan struct{})}
	s.use(token)
	for _, vm := range vms {
		s.group.Go(func() { s.run(vm) })
	}
	return s
}

func (s *sender) use(token string) { s.token.Store(&token) }

func (s *sender) run(vm *entryVM) {
	for {
		select {
		case <-s.done:
			return
		default:
		}
		ok, err := vm.accepts(*s.token.Load())
		s.sent.Add(1)
		if !ok || err != nil {
			s.refused.Add(1)
			s.last.Store(fmt.Sprintf("%s: %v", vm.id, err))
		}
	}
}

func (s *sender) stop() (sent, refused int64) {
	close(s.done)
	s.group.Wait()
	return s.sent.Load(), s.refused.Load()
}

var errNoGrant = errors.New("no key in the output")

// parseGrant takes id and key from the output of grant.
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
		return "", "", errNoGrant
	}
	return id, token, nil
}
