package configurer

import (
	"time"

	"filberthaven.example/loader"
)

// Role is what the key of an operator or viewer permits.
type Role string

// The roles, as written in declarations. A team's key has NoRole.
const (
	NoRole   Role = ""
	Operator Role = "operator" // may read and change the declarations
	Viewer   Role = "viewer"   // may read the declarations and plan changes
)

// Key is a declared key. It holds the hash of its secret, and the team or role that the
// secret authenticates.
type Key struct {
	id        string    // never empty; public
	hash      string    // SHA-256 of the secret in hexadecimal digits
	team      string    // empty for a key with a role
	role      Role      // NoRole for a team's key
	expires   time.Time // zero: never
	withdrawn bool      // permanent: a withdrawn key never becomes valid again
	note      string    // who holds it, or why it was withdrawn
}

// ID returns the public id of the key.
func (k Key) ID() string { return k.id }

// Hash returns the SHA-256 of the secret in hexadecimal digits.
func (k Key) Hash() string { return k.hash }

// Team returns the team that the key authenticates, or "" for a key with a role.
func (k Key) Team() string { return k.team }

// Role returns the role that the key authenticates, or NoRole for a team's key.
func (k Key) Role() Role { return k.role }

// Expires returns when the key expires, or zero if it doesn't.
func (k Key) Expires() time.Time { return k.expires }

// Withdrawn reports whether an operator withdrew the key.
func (k Key) Withdrawn() bool { return k.withdrawn }

// Note returns who holds the key, or why it was withdrawn.
func (k Key) Note() string { return k.note }

// Active reports whether the key is valid at the time now.
func (k Key) Active(now time.Time) bool {
	return !k.withdrawn && (k.expires.IsZero() || now.Before(k.expires))
}

func decodeKey(s *loader.Section) Key {
	return Key{
		id:        s.Name(),
		hash:      loader.Require(s, "hash", loader.SHA256),
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
		loader.NewPair("hash", k.hash),
		loader.NewPair("team", k.team),
		loader.NewPair("role", string(k.role)),
		loader.NewPair("expires", formatTime(k.expires)),
		loader.NewPair("withdrawn", withdrawn),
		loader.NewPair("note", k.note))
}

// Declaration returns the key's section as INI.
func (k Key) Declaration() string { return string(loader.Encode([]loader.Block{k.block()})) }

func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339Nano)
}
