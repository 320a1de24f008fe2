package authenticator

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Parts of the text of a key: fh_ID_SECRET.
const (
	keyPrefix   = "fh_"
	idBytes     = 6  // 12 hexadecimal digits
	secretBytes = 32 // 256 random bits, so that a plain hash is enough
	// maxKeyBytes is the length in bytes above which a text is refused as a key.
	maxKeyBytes = 128
)

// Role is what a key allows.
type Role uint8

// The roles.
const (
	// TeamRole may submit and see the work of one team.
	TeamRole Role = iota + 1
	// ViewerRole may see what operators see, and change nothing.
	ViewerRole
	// OperatorRole may change the configuration.
	OperatorRole
)

var roleNames = map[Role]string{TeamRole: "team", ViewerRole: "viewer", OperatorRole: "operator"}

// ErrUnknownRole means that no role has the given name.
var ErrUnknownRole = errors.New("unknown role")

// ParseRole returns the role with that name, or ErrUnknownRole.
func ParseRole(name string) (Role, error) {
	for role, known := range roleNames {
		if known == name {
			return role, nil
		}
	}
	return 0, fmt.Errorf("%w: %q", ErrUnknownRole, name)
}

// String returns the name of the role.
func (r Role) String() string { return roleNames[r] }

// Key is a key as the configuration stores it: with a hash of the secret, from which the
// text of the key can't be recovered.
type Key struct {
	id        string    // public, hexadecimal
	hash      string    // SHA-256 of the secret, hexadecimal
	team      string    // empty unless the role is TeamRole
	role      Role      // one of the constants
	withdrawn bool      // the key is refused
	expiry    time.Time // the key is refused from this time on; zero means never
}

// NewKey returns a key as the configuration stores it.
func NewKey(id, hash, team string, role Role, withdrawn bool, expiry time.Time) Key {
	return Key{id: id, hash: hash, team: team, role: role, withdrawn: withdrawn, expiry: expiry}
}

// ID returns the public part of the key.
func (k Key) ID() string { return k.id }

// Hash returns the SHA-256 of the secret in hexadecimal digits.
func (k Key) Hash() string { return k.hash }

// Team returns the team, empty unless the role is TeamRole.
func (k Key) Team() string { return k.team }

// Role returns what the key allows.
func (k Key) Role() Role { return k.role }

// Withdrawn reports whether the key has been withdrawn and is refused.
func (k Key) Withdrawn() bool { return k.withdrawn }

// Expiry returns the time from which the key is refused; zero means never.
func (k Key) Expiry() time.Time { return k.expiry }

// Generate returns a new random key and its text for the holder. The text can't be
// recovered later.
func Generate(team string, role Role) (Key, string) {
	id := make([]byte, idBytes)
	secret := make([]byte, secretBytes)
	rand.Read(id)
	rand.Read(secret)
	key := Key{id: hex.EncodeToString(id), team: team, role: role}
	text := base64.RawURLEncoding.EncodeToString(secret)
	key.hash = hashOf(text)
	return key, keyPrefix + key.id + "_" + text
}

// matches reports whether the key has that secret. It compares the hashes in constant
// time.
func (k Key) matches(secret string) bool {
	return subtle.ConstantTimeCompare([]byte(k.hash), []byte(hashOf(secret))) == 1
}

// hashOf returns the SHA-256 of secret in hexadecimal digits.
func hashOf(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// splitKey returns the id and the secret in the text of a key, or false if the text has
// another form.
func splitKey(text string) (id, secret string, ok bool) {
	rest, ok := strings.CutPrefix(text, keyPrefix)
	if !ok || len(text) > maxKeyBytes {
		return "", "", false
	}
	id, secret, ok = strings.Cut(rest, "_")
	return id, secret, ok && len(id) == 2*idBytes && secret != ""
}
