package server

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestPeers asserts that an entry VM exchanges declarations with the peers of its
// settings while the platform's list has not been fetched yet.
func TestPeers(t *testing.T) {
	c := qt.New(t)
	settings, err := NewSettings(WithID("entry-1"), WithCentre("pianura-a"), WithCentres(NewCentre("pianura-a", 1)),
		WithPlatform("http://127.0.0.1:1"), WithPeers("10.20.1.11:7443", "10.20.1.12:7443"))
	c.Assert(err, qt.IsNil)
	s, err := New(settings)
	c.Assert(err, qt.IsNil)
	c.Cleanup(s.closeListeners)
	c.Assert(s.configurerPeers(), qt.HasLen, 2)
}
