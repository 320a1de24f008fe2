package configurer

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"time"

	"filberthaven.example/loader"
)

// Role is what an operator's key permits.
type Role string

// The roles, and NoRole of a team's key.
const (
	NoRole   Role = ""
	Operator Role = "operator" // reads and changes the declarations
	Viewer   Role = "viewer"   // reads them
)

// HashSize is the size of a key's stored hash in bytes.
const HashSize = sha256.Size

// Key is a key as declared: the hash of its secret, and what it stands for.
type Key struct {
	id        string         // never empty; public
	hash      [HashSize]byte // SHA-256 of the secret
	team      string         // empty for an operator's key
	role      Role           // NoRole for a team's key
	expires   time.Time      // zero: never
	withdrawn bool           // for good
	note      string         // who holds it, or why it was withdrawn
}

// ID returns the public id of the key.
func (k Key) ID() string { return k.id }

// Hash returns the SHA-256 of the secret.
func (k Key) Hash() [HashSize]byte { return k.hash }

// Team returns the team that the key stands for, empty for an operator's key.
func (k Key) Team() string { return k.team }

// Role returns the role of an operator's key, or NoRole.
func (k Key) Role() Role { return k.role }

// Expires returns when the key lapses; zero when it doesn't.
func (k Key) Expires() time.Time { return k.expires }

// Withdrawn reports whether an operator took the key back.
func (k Key) Withdrawn() bool { return k.withdrawn }

// Note returns who holds the key, or why it was withdrawn.
func (k Key) Note() string { return k.note }

// Active reports whether the key is valid at the time.
func (k Key) Active(now time.Time) bool {
	return !k.withdrawn && (k.expires.IsZero() || now.Before(k.expires))
}

func decodeKey(s *loader.Section) Key {
	return Key{
		id:        s.Name(),
		hash:      loader.Require(s, "hash", parseHash),
		team:      loader.Get(s, "team", loader.Word, ""),
		role:      Role(loader.Get(s, "role", loader.OneOf(string(Operator), string(Viewer)), "")),
		expires:   loader.Get(s, "expires", loader.Time, time.Time{}),
		withdrawn: loader.Get(s, "withdrawn", loader.Bool, false),
		note:      loader.Get(s, "note", loader.Text, ""),
	}
}

func (k Key) block() loader.Block {
	withdrawn := ""
	if k.withdrawn {
		withdrawn = formatBool(true)
	}
	return loader.NewBlock("key", k.id,
		loader.NewPair("hash", hex.EncodeToString(k.hash[:])),
		loader.NewPair("team", k.team),
		loader.NewPair("role", string(k.role)),
		loader.NewPair("expires", formatTime(k.expires)),
		loader.NewPair("withdrawn", withdrawn),
		loader.NewPair("note", k.note))
}

// parseHash takes 64 hexadecimal digits.
func parseHash(text string) (hash [HashSize]byte, err error) {
	digits, err := hex.DecodeString(text)
	if err != nil || len(digits) != HashSize {
		return hash, fmt.Errorf("want %d hexadecimal digits", 2*HashSize)
	}
	return [HashSize]byte(digits), nil
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339Nano)
}

// tokenPrefix begins each key as its holder shows it.
const tokenPrefix = "fh_"

// ErrToken means that a text isn't a key.
var ErrToken = errors.New("want a key such as fh_ID_SECRET")

// NewToken returns a random key as shown once to its holder, its id, and the
// hash that is declared.
func NewToken() (token, id string, hash [HashSize]byte) {
	id = strings.ToLower(rand.Text()[:12])
	secret := rand.Text()
	return tokenPrefix + id + "_" + secret, id, HashSecret(secret)
}

// ParseToken splits a key into its id and secret, or returns ErrToken.
func ParseToken(token string) (id, secret string, err error) {
	rest, found := strings.CutPrefix(token, tokenPrefix)
	id, secret, split := strings.Cut(rest, "_")
	if !found || !split || id == "" || secret == "" {
		return "", "", ErrToken
	}
	return id, secret, nil
}

// HashSecret returns the hash of a key's secret. Secrets are random and long, so that
// a plain hash is enough.
func HashSecret(secret string) [HashSize]byte { return sha256.Sum256([]byte(secret)) }
