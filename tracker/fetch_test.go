package tracker

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOddEntryInList checks that one odd VM does not hide the others of a list: a VM that came
// or left would not be noticed any more.
func TestOddEntryInList(t *testing.T) {
	const good = `{"id":"w1","role":"worker","address":"127.0.0.1:1","state":"live","cpu":4000}`
	for name, odd := range map[string]string{
		"none":                 `{"id":"w2","state":"gone"}`,
		"deeply nested":        `{"id":"w2","state":"live","rack":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
		"number too large":     `{"id":"w2","state":"live","cpu":9223372036854775808}`,
		"number with exponent": `{"id":"w2","state":"live","cpu":1e400}`,
		"capacity too large":   `{"id":"w2","state":"live","cpu":9223372036854775807}`,
		"negative capacity":    `{"id":"w2","state":"live","cpu":-1}`,
		"another type":         `{"id":7,"state":"live"}`,
		"no object":            `7`,
		"brackets in a string": `{"id":"]}","state":"asleep"}`,
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprintf(w, `{"revision":5,"vms":[%s,%s]}`, odd, good)
			}))
			defer server.Close()
			tracker, err := New(WithPlatform(server.URL, server.Client()))
			qt.Assert(t, err, qt.IsNil)
			tracker.fetch(t.Context())
			workers := tracker.Workers("")
			qt.Assert(t, workers, qt.HasLen, 1)
			qt.Assert(t, workers[0].ID(), qt.Equals, "w1")
			qt.Assert(t, tracker.list.lastRevision(), qt.Equals, uint64(5))
		})
	}
}

// TestBadList checks that a response that is no whole list changes nothing, so that the same
// changes are requested again.
func TestBadList(t *testing.T) {
	for _, body := range []string{``, `7`, `[]`, `{"vms":[]}`, `{"revision":"5","vms":[]}`, `{"revision":5,"vms":[{"id":"w1","state":"live"}`} {
		t.Run(body, func(t *testing.T) {
			_, err := decodeList([]byte(body), func(error) {})
			qt.Assert(t, err, qt.ErrorIs, errBadList)
		})
	}
}
