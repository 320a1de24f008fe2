package authenticator_test

import (
	"testing"
	"time"

	"filberthaven.example/authenticator"
	qt "github.com/frankban/quicktest"
)

// BenchmarkAuthenticate measures the check of a valid key.
func BenchmarkAuthenticate(b *testing.B) {
	key, text := authenticator.Generate("cremona", authenticator.TeamRole)
	keys := &book{keys: map[string]authenticator.Key{key.ID(): key}, now: time.Unix(0, 0)}
	a := keys.newAuthenticator(qt.New(b))
	request := requestWith("Bearer " + text)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := a.Authenticate(request); err != nil {
			b.Fatal(err)
		}
	}
}
