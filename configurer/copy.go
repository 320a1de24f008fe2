package configurer

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"filberthaven.example/keeper"
	"github.com/hashicorp/go-hclog"
)

// LiveKey is the key of the newest revision in the key-value service.
const LiveKey = "live/config"

// Copy holds the revision in force on one entry VM. Its number never decreases.
type Copy struct {
	log      hclog.Logger
	revision atomic.Pointer[Revision] // nil before the first revision

	mu             sync.Mutex // held while a revision is brought into force and subscribers are called
	subscribers    map[int]func(*Revision)
	nextSubscriber int // key of the next subscriber
}

// CopyOption configures a Copy.
type CopyOption func(*Copy)

// WithCopyLogger sets the logger. By default, nothing is logged.
func WithCopyLogger(log hclog.Logger) CopyOption {
	return func(c *Copy) { c.log = log.Named("config") }
}

// NewCopy returns a Copy without a revision.
func NewCopy(options ...CopyOption) *Copy {
	c := &Copy{log: hclog.NewNullLogger(), subscribers: map[int]func(*Revision){}}
	for _, option := range options {
		option(c)
	}
	return c
}

// emptyDocument stands for the document before the first revision.
var emptyDocument = &Document{}

// Current returns the document in force, or nil before the first revision.
func (c *Copy) Current() *Document {
	if revision := c.revision.Load(); revision != nil {
		return revision.document
	}
	return nil
}

// document returns the document in force, or an empty one before the first revision.
func (c *Copy) document() *Document {
	if document := c.Current(); document != nil {
		return document
	}
	return emptyDocument
}

// Latest returns the revision in force, or nil before the first revision.
func (c *Copy) Latest() *Revision { return c.revision.Load() }

// Revision returns the number of the revision in force, or 0 before the first revision.
func (c *Copy) Revision() uint64 {
	if revision := c.revision.Load(); revision != nil {
		return revision.number
	}
	return 0
}

// Offer brings a stored revision into force if it is newer, and reports whether it did.
// Data that can't be decoded is logged and refused.
func (c *Copy) Offer(data []byte) bool {
	revision, err := DecodeRevision(data)
	if err != nil {
		c.log.Error("stored revision refused", "error", err)
		return false
	}
	return c.offer(revision)
}

// Observe brings the entry into force if it is that of LiveKey and holds a newer revision.
// It is called with entries that the watch of the key-value service returns.
func (c *Copy) Observe(entry keeper.Entry) {
	if entry.Key() == LiveKey && !entry.Deleted() {
		c.Offer(entry.Value())
	}
}

func (c *Copy) offer(revision *Revision) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.Revision(); revision.number <= known {
		if revision.number < known {
			c.log.Debug("older revision ignored", "revision", revision.number, "known", known)
		}
		return false
	}
	c.revision.Store(revision)
	c.log.Info("revision brought into force", "revision", revision.number, "author", revision.author, "reason", revision.reason)
	if len(revision.document.unknown) > 0 {
		c.log.Warn("revision holds keys of a newer program version", "first", revision.document.unknown[0])
	}
	for _, key := range slices.Sorted(maps.Keys(c.subscribers)) {
		c.subscribers[key](revision)
	}
	return true
}

// Subscribe calls f with the revision in force, if there is one, and then with each
// later revision in order. f must not block, and must not call Subscribe, Offer or
// cancel. cancel ends the subscription.
func (c *Copy) Subscribe(f func(*Revision)) (cancel func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := c.nextSubscriber
	c.nextSubscriber++
	c.subscribers[key] = f
	if revision := c.revision.Load(); revision != nil {
		f(revision)
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.subscribers, key)
	}
}
