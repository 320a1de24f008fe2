// Package keeper reaches the platform's key-value service. The service offers
// compare-and-swap, leases and watches, and holds values up to ValueLimit.
package keeper

import (
	"context"
	"errors"
	"time"
)

// ValueLimit is the largest value in bytes.
const ValueLimit = 1 << 20

// Errors of the service. A caller tests for them with errors.Is.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrConflict means that the version expected was not the one held; nothing
	// was written.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable means that the service surely did not carry out the call.
	ErrUnavailable = errors.New("key-value service unavailable")
	// ErrOutcomeUnknown means that a write may have taken effect or may yet do so.
	ErrOutcomeUnknown = errors.New("outcome of write unknown")
	// ErrTooLarge means that the value is over ValueLimit.
	ErrTooLarge = errors.New("value too large")
	// ErrCompacted means that the history a watch asked for is gone; what exists
	// is to be listed anew.
	ErrCompacted = errors.New("history compacted")
	// ErrLeaseExpired means that the lease does not exist any more.
	ErrLeaseExpired = errors.New("lease expired")
)

// Entry is one key with its value.
type Entry struct {
	key     string // never empty
	value   []byte // not to be changed by a reader
	version uint64 // rises with each write of any key; 0 means absent
	deleted bool   // only in the answer to a watch
}

// NewEntry returns an entry as read from the service.
func NewEntry(key string, value []byte, version uint64, deleted bool) Entry {
	return Entry{key: key, value: value, version: version, deleted: deleted}
}

// Key returns the name of the entry.
func (e Entry) Key() string { return e.key }

// Value returns the bytes held, not to be changed.
func (e Entry) Value() []byte { return e.value }

// Version returns the version to expect in a compare-and-swap.
func (e Entry) Version() uint64 { return e.version }

// Deleted reports whether a watch saw the key go.
func (e Entry) Deleted() bool { return e.deleted }

// LeaseID names a lease; 0 means none.
type LeaseID uint64

// Store is the service as its users see it. All fields are set; a test or a
// transport sets them.
type Store struct {
	// Get returns the entry, or ErrNotFound.
	Get func(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose key begins with prefix, by key.
	List func(ctx context.Context, prefix string) ([]Entry, error)
	// Put writes value if the key's version is expect (0: the key is absent) and
	// returns the new version. With a lease the key goes when the lease does.
	Put func(ctx context.Context, key string, value []byte, expect uint64, lease LeaseID) (uint64, error)
	// Delete removes the key if its version is expect.
	Delete func(ctx context.Context, key string, expect uint64) error
	// Watch waits until a key that begins with prefix has a version above after,
	// or until the service's own wait limit; it returns the changes in order of
	// version, and the version to go on from. After version 0 it returns all that
	// exists. It may return ErrCompacted.
	Watch func(ctx context.Context, prefix string, after uint64) ([]Entry, uint64, error)
	// Grant opens a lease, Renew prolongs it by its TTL, Revoke ends it.
	Grant  func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	Renew  func(ctx context.Context, lease LeaseID) error
	Revoke func(ctx context.Context, lease LeaseID) error
}
