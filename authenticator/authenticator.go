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

// Errors of Authenticate and Require.
var (
	// ErrNoKey means that the request carries no key.
	ErrNoKey = errors.New("no key")
	// ErrBadKey means that the key is wrong, withdrawn or expired.
	ErrBadKey = errors.New("key not valid")
	// ErrTooManyFailures means that the source has sent too many wrong keys.
	ErrTooManyFailures = errors.New("too many failed keys")
	// ErrForbidden means that the key's role does not allow the call.
	ErrForbidden = errors.New("role not allowed")
)

// Principal is the authenticated sender of a request.
type Principal struct {
	team string // empty unless the role is TeamRole
	role Role
	key  string // id of the key
}

// NewPrincipal returns the principal for the key with that id.
func NewPrincipal(team string, role Role, key string) Principal {
	return Principal{team: team, role: role, key: key}
}

// Team returns the team, empty for operators and viewers.
func (p Principal) Team() string { return p.team }

// Role returns the role of the key.
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

// Authenticator authenticates requests by the keys in the configuration. It is safe for
// concurrent use.
type Authenticator struct {
	lookup   func(id string) (Key, bool)
	now      func() time.Time
	logger   hclog.Logger
	failures *failureLimiter
	lastUses sync.Map // time.Time by key id
}

// Option configures an Authenticator.
type Option func(*Authenticator)

// WithLookup sets the function that finds a key by id. It is called for each request, so
// that a changed configuration takes effect at once.
func WithLookup(lookup func(id string) (Key, bool)) Option {
	return func(a *Authenticator) { a.lookup = lookup }
}

// WithFailureLimit sets how many wrong keys a source may send: per second on average, and
// in a burst. Above the limit, all its requests with a key are refused.
func WithFailureLimit(perSecond float64, burst int) Option {
	return func(a *Authenticator) { a.failures = newFailureLimiter(perSecond, burst) }
}

// WithLogger sets the logger for refused keys.
func WithLogger(logger hclog.Logger) Option {
	return func(a *Authenticator) { a.logger = logger.Named("authenticator") }
}

// WithClock sets the clock.
func WithClock(now func() time.Time) Option { return func(a *Authenticator) { a.now = now } }

// New returns an Authenticator. Without WithLookup it knows no key.
func New(options ...Option) (*Authenticator, error) {
	a := &Authenticator{
		lookup:   func(string) (Key, bool) { return Key{}, false },
		now:      time.Now,
		logger:   hclog.NewNullLogger(),
		failures: newFailureLimiter(DefaultFailureRate, DefaultFailureBurst),
	}
	for _, option := range options {
		option(a)
	}
	return a, nil
}

// Authenticate returns the principal of the request's bearer key. The errors are
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
		return Principal{}, a.refuse(source, "", now)
	}
	return a.check(strings.TrimSpace(text), source, now)
}

// check validates the text of a key against the configuration and records its use.
func (a *Authenticator) check(text, source string, now time.Time) (Principal, error) {
	id, secret, ok := splitKey(text)
	if !ok {
		return Principal{}, a.refuse(source, "", now)
	}
	key, known := a.lookup(id)
	if !key.matches(secret) || !known || key.withdrawn {
		return Principal{}, a.refuse(source, id, now)
	}
	if !key.expiry.IsZero() && !now.Before(key.expiry) {
		return Principal{}, a.refuse(source, id, now)
	}
	a.recordUse(id, now)
	return Principal{team: key.team, role: key.role, key: id}, nil
}

// refuse logs a wrong key, counts it for its source, and returns ErrBadKey.
func (a *Authenticator) refuse(source, id string, now time.Time) error {
	a.logger.Warn("key refused", "source", source, "key", id)
	a.failures.add(source, now)
	return ErrBadKey
}

// useResolution is the resolution of the last use of a key. Because of it, most requests
// write nothing to lastUses.
const useResolution = time.Second

// recordUse records the last use of a key.
func (a *Authenticator) recordUse(id string, now time.Time) {
	if last, ok := a.lastUses.Load(id); ok && now.Sub(last.(time.Time)) < useResolution {
		return
	}
	a.lastUses.Store(id, now)
}

// LastUse returns when this Authenticator last accepted the key with that id, to the
// second, or false if it has never accepted it.
func (a *Authenticator) LastUse(id string) (time.Time, bool) {
	last, ok := a.lastUses.Load(id)
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
