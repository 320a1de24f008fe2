package authenticator_test

import (
	"testing"
	"time"

	"filberthaven.example/authenticator"
	qt "github.com/frankban/quicktest"
)

// BenchmarkAuthenticate measures the authentication of a valid key.
func BenchmarkAuthenticate(b *testing.B) {
	key, text := authenticator.Generate("cremona", authenticator.TeamRole)
	store := &keyStore{keys: map[string]authenticator.Key{key.ID(): key}, now: time.Unix(0, 0)}
	a := store.newAuthenticator(qt.New(b))
	request := requestWith("Bearer " + text)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := a.Authenticate(request); err != nil {
			b.Fatal(err)
		}
	}
}
