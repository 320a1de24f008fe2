package authenticator_test

import (
	"net/http"
	"testing"
	"time"

	"filberthaven.example/authenticator"
	qt "github.com/frankban/quicktest"
)

// keyStore is a fake configuration of keys with a clock.
type keyStore struct {
	keys map[string]authenticator.Key
	now  time.Time
}

// newAuthenticator returns an Authenticator with the keys and the clock of the store.
func (s *keyStore) newAuthenticator(c *qt.C, options ...authenticator.Option) *authenticator.Authenticator {
	options = append(options, authenticator.WithClock(func() time.Time { return s.now }),
		authenticator.WithLookup(func(id string) (authenticator.Key, bool) {
			key, ok := s.keys[id]
			return key, ok
		}))
	a, err := authenticator.New(options...)
	c.Assert(err, qt.IsNil)
	return a
}

// requestWith returns a request with the given Authorization headers.
func requestWith(authorization ...string) *http.Request {
	return &http.Request{RemoteAddr: "192.0.2.7:4000", Header: http.Header{"Authorization": authorization}}
}

func TestAuthenticate(t *testing.T) {
	c := qt.New(t)
	start := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	key, text := authenticator.Generate("cremona", authenticator.TeamRole)
	store := &keyStore{keys: map[string]authenticator.Key{key.ID(): key}, now: start}
	a := store.newAuthenticator(c)

	c.Run("valid key", func(c *qt.C) {
		principal, err := a.Authenticate(requestWith("Bearer " + text))
		c.Assert(err, qt.IsNil)
		c.Assert(principal, qt.Equals, authenticator.NewPrincipal("cremona", authenticator.TeamRole, key.ID()))
		last, ok := a.LastUse(key.ID())
		c.Assert(ok, qt.IsTrue)
		c.Assert(last, qt.Equals, start)
	})
	c.Run("no key", func(c *qt.C) {
		_, err := a.Authenticate(&http.Request{Header: http.Header{}})
		c.Assert(err, qt.ErrorIs, authenticator.ErrNoKey)
	})
	refused := map[string]*http.Request{
		"wrong secret": requestWith("Bearer " + text[:len(text)-1]),
		"other scheme": requestWith("Basic " + text),
		"empty":        requestWith(""),
		"two headers":  requestWith("Bearer "+text, "Bearer "+text),
		"unknown id":   requestWith("Bearer fh_000000000000_secret"),
		"hash as key":  requestWith("Bearer fh_" + key.ID() + "_" + key.Hash()),
	}
	for name, request := range refused {
		c.Run(name, func(c *qt.C) {
			_, err := a.Authenticate(request)
			c.Assert(err, qt.ErrorIs, authenticator.ErrBadKey)
		})
	}
	c.Run("withdrawn", func(c *qt.C) {
		store.keys[key.ID()] = authenticator.NewKey(key.ID(), key.Hash(), key.Team(), key.Role(), true, time.Time{})
		_, err := a.Authenticate(requestWith("Bearer " + text))
		c.Assert(err, qt.ErrorIs, authenticator.ErrBadKey)
	})
	c.Run("expired", func(c *qt.C) {
		store.keys[key.ID()] = authenticator.NewKey(key.ID(), key.Hash(), key.Team(), key.Role(), false, start)
		_, err := a.Authenticate(requestWith("Bearer " + text))
		c.Assert(err, qt.ErrorIs, authenticator.ErrBadKey)
	})
}

// TestSecondKeyOfTeam checks that a new key of a team is accepted while the former key is
// still declared.
func TestSecondKeyOfTeam(t *testing.T) {
	c := qt.New(t)
	store := &keyStore{keys: map[string]authenticator.Key{}, now: time.Unix(0, 0)}
	a := store.newAuthenticator(c)
	for range 2 {
		key, text := authenticator.Generate("mantova", authenticator.TeamRole)
		store.keys[key.ID()] = key
		principal, err := a.Authenticate(requestWith("Bearer " + text))
		c.Assert(err, qt.IsNil)
		c.Assert(principal.Team(), qt.Equals, "mantova")
	}
}

func TestFailureLimit(t *testing.T) {
	c := qt.New(t)
	key, text := authenticator.Generate("cremona", authenticator.TeamRole)
	store := &keyStore{keys: map[string]authenticator.Key{key.ID(): key}, now: time.Unix(1000, 0)}
	a := store.newAuthenticator(c, authenticator.WithFailureLimit(1, 3))
	for range 3 {
		_, err := a.Authenticate(requestWith("Bearer wrong"))
		c.Assert(err, qt.ErrorIs, authenticator.ErrBadKey)
	}
	_, err := a.Authenticate(requestWith("Bearer " + text))
	c.Assert(err, qt.ErrorIs, authenticator.ErrTooManyFailures)

	c.Run("another source is not limited", func(c *qt.C) {
		other := requestWith("Bearer " + text)
		other.RemoteAddr = "192.0.2.8:4000"
		_, err := a.Authenticate(other)
		c.Assert(err, qt.IsNil)
	})
	c.Run("the limit ends with time", func(c *qt.C) {
		store.now = store.now.Add(time.Second)
		_, err := a.Authenticate(requestWith("Bearer " + text))
		c.Assert(err, qt.IsNil)
	})
}
