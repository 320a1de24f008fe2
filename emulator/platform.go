package emulator

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
)

// Platform is a fake of the platform that serves a Store and a list of VMs over HTTP with
// JSON.
type Platform struct {
	store  *Store
	vms    *vmList
	router chi.Router
}

// PlatformOption changes a Platform under construction.
type PlatformOption func(*Platform)

// WithLag sets how late changes appear in the list of VMs.
func WithLag(lag time.Duration) PlatformOption { return func(p *Platform) { p.vms.lag = lag } }

// NewPlatform returns a platform with the store and an empty list of VMs.
func NewPlatform(store *Store, options ...PlatformOption) *Platform {
	p := &Platform{store: store, vms: &vmList{vms: map[string]listedVM{}}, router: chi.NewRouter()}
	for _, option := range options {
		option(p)
	}
	p.router.Get("/v1/kv", p.getKey)
	p.router.Put("/v1/kv", p.putKey)
	p.router.Delete("/v1/kv", p.deleteKey)
	p.router.Get("/v1/list", p.listKeys)
	p.router.Get("/v1/watch", p.watchKeys)
	p.router.Post("/v1/leases", p.grantLease)
	p.router.Put("/v1/leases/{id}", p.renewLease)
	p.router.Delete("/v1/leases/{id}", p.revokeLease)
	p.router.Get("/v1/vms", p.getVMs)
	p.router.Post("/v1/vms", p.setVM)
	p.router.Post("/v1/faults", p.setFaults)
	p.router.Get("/v1/counts", p.getCounts)
	return p
}

// ServeHTTP serves a request.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.router.ServeHTTP(w, r) }

// SetVM adds the VM to the list or replaces its entry. The change appears after the lag.
func (p *Platform) SetVM(vm VM) { p.vms.set(vm) }
