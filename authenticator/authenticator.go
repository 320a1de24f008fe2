package authenticator

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Errors of a check.
var (
	// ErrNoKey means that the request carries no key.
	ErrNoKey = errors.New("no key")
	// ErrBadKey means that the key is wrong, withdrawn or expired.
	ErrBadKey = errors.New("key not valid")
	// ErrTooManyFailures means that the source has shown too many wrong keys.
	ErrTooManyFailures = errors.New("too many failed keys")
	// ErrForbidden means that the key's role does not allow the call.
	ErrForbidden = errors.New("role not allowed")
)

// Principal is who makes a request.
type Principal struct {
	team string // empty unless the role is TeamRole
	role Role
	key  string // id of the key
}

// NewPrincipal returns who holds the key with that id.
func NewPrincipal(team string, role Role, key string) Principal {
	return Principal{team: team, role: role, key: key}
}

// Team returns the team, empty for operators and viewers.
func (p Principal) Team() string { return p.team }

// Role returns what is allowed.
func (p Principal) Role() Role { return p.role }

// Key returns the id of the key, for the audit trail.
func (p Principal) Key() string { return p.key }

// Require returns ErrForbidden unless the role is one of those given.
func (p Principal) Require(roles ...Role) error {
	for _, role := range roles {
		if p.role == role {
			return nil
		}
	}
	return ErrForbidden
}

// Authenticator checks keys against a copy of the configuration.
type Authenticator struct {
	lookup   func(id string) (Key, bool)
	now      func() time.Time
	logger   hclog.Logger
	failures *failures
	uses     sync.Map // of key id to time.Time
}

// Option changes an Authenticator under construction.
type Option func(*Authenticator)

// WithLookup sets where keys are found by id. It is asked for each request, so
// that a withdrawal is in force as soon as the copy changes.
func WithLookup(lookup func(id string) (Key, bool)) Option {
	return func(a *Authenticator) { a.lookup = lookup }
}

// WithFailureLimit sets how many wrong keys a source may show, each second and
// at once.
func WithFailureLimit(perSecond float64, burst int) Option {
	return func(a *Authenticator) { a.failures = newFailures(perSecond, burst) }
}

// WithLogger sets where refusals are logged.
func WithLogger(logger hclog.Logger) Option {
	return func(a *Authenticator) { a.logger = logger.Named("authenticator") }
}

// WithClock sets the clock.
func WithClock(now func() time.Time) Option { return func(a *Authenticator) { a.now = now } }

// New returns an Authenticator changed by the options; without a look-up it
// knows no key.
func New(options ...Option) (*Authenticator, error) {
	a := &Authenticator{
		lookup:   func(string) (Key, bool) { return Key{}, false },
		now:      time.Now,
		logger:   hclog.NewNullLogger(),
		failures: newFailures(DefaultFailureRate, DefaultFailureBurst),
	}
	for _, option := range options {
		option(a)
	}
	return a, nil
}

// Authenticate returns who makes the request by its bearer key. The errors are
// ErrNoKey, ErrBadKey and ErrTooManyFailures.
func (a *Authenticator) Authenticate(request *http.Request) (Principal, error) {
	values := request.Header["Authorization"]
	if len(values) == 0 {
		return Principal{}, ErrNoKey
	}
	source := sourceOf(request.RemoteAddr)
	now := a.now()
	if a.failures.blocked(source, now) {
		return Principal{}, ErrTooManyFailures
	}
	scheme, text, _ := strings.Cut(values[0], " ")
	if len(values) > 1 || !strings.EqualFold(scheme, "Bearer") {
		return Principal{}, a.fail(source, "", now)
	}
	return a.check(strings.TrimSpace(text), source, now)
}

// check compares a key's text with the configuration.
func (a *Authenticator) check(text, source string, now time.Time) (Principal, error) {
	id, secret, ok := split(text)
	if !ok {
		return Principal{}, a.fail(source, "", now)
	}
	key, known := a.lookup(id)
	if !key.matches(secret) || !known || key.withdrawn {
		return Principal{}, a.fail(source, id, now)
	}
	if !key.expiry.IsZero() && !now.Before(key.expiry) {
		return Principal{}, a.fail(source, id, now)
	}
	a.use(id, now)
	return Principal{team: key.team, role: key.role, key: id}, nil
}

// fail counts a wrong key and returns the error to answer.
func (a *Authenticator) fail(source, id string, now time.Time) error {
	a.logger.Warn("key refused", "source", source, "key", id)
	a.failures.add(source, now)
	return ErrBadKey
}

// useGrain is how exactly the last use is known; it spares a write for most
// requests.
const useGrain = time.Second

// use notes the last use.
func (a *Authenticator) use(id string, now time.Time) {
	if last, ok := a.uses.Load(id); ok && now.Sub(last.(time.Time)) < useGrain {
		return
	}
	a.uses.Store(id, now)
}

// LastUse returns when the key with that id was last accepted here, to the
// second, and false if it never was.
func (a *Authenticator) LastUse(id string) (time.Time, bool) {
	last, ok := a.uses.Load(id)
	if !ok {
		return time.Time{}, false
	}
	return last.(time.Time), true
}

// sourceOf returns the host of a remote address.
func sourceOf(remote string) string {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return remote
	}
	return host
}
