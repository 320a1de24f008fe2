package configurer

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"filberthaven.example/keeper"
	"github.com/hashicorp/go-hclog"
)

// LiveKey is where the newest revision is kept in the key-value service.
const LiveKey = "live/config"

// Copy is the revision in force on one entry VM. Its number only rises.
type Copy struct {
	log      hclog.Logger
	revision atomic.Pointer[Revision] // nil before the first

	mu          sync.Mutex // held while a revision comes into force
	subscribers map[int]func(*Revision)
	next        int // key of the next subscriber
}

// CopyOption changes a Copy under construction.
type CopyOption func(*Copy)

// WithCopyLogger sets the logger.
func WithCopyLogger(log hclog.Logger) CopyOption {
	return func(c *Copy) { c.log = log.Named("config") }
}

// NewCopy returns a copy without a revision, changed by the options.
func NewCopy(options ...CopyOption) *Copy {
	c := &Copy{log: hclog.NewNullLogger(), subscribers: map[int]func(*Revision){}}
	for _, option := range options {
		option(c)
	}
	return c
}

// emptyDocument declares nothing.
var emptyDocument = &Document{}

// Current returns the document in force, or nil before the first revision.
func (c *Copy) Current() *Document {
	if revision := c.revision.Load(); revision != nil {
		return revision.document
	}
	return nil
}

// document returns the document in force, or one that declares nothing.
func (c *Copy) document() *Document {
	if document := c.Current(); document != nil {
		return document
	}
	return emptyDocument
}

// Latest returns the revision in force, or nil before the first.
func (c *Copy) Latest() *Revision { return c.revision.Load() }

// Revision returns the number of the revision in force, or 0 before the first.
func (c *Copy) Revision() uint64 {
	if revision := c.revision.Load(); revision != nil {
		return revision.number
	}
	return 0
}

// Offer brings a stored revision into force if it is newer, and reports whether
// it did. What can't be decoded is logged and refused.
func (c *Copy) Offer(data []byte) bool {
	revision, err := DecodeRevision(data)
	if err != nil {
		c.log.Error("revision refused", "error", err)
		return false
	}
	return c.offer(revision)
}

// Observe takes in an entry of the key-value service's watch.
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
			c.log.Debug("older revision passed over", "revision", revision.number, "known", known)
		}
		return false
	}
	c.revision.Store(revision)
	c.log.Info("revision in force", "revision", revision.number, "author", revision.author, "reason", revision.reason)
	if len(revision.document.unknown) > 0 {
		c.log.Warn("revision holds keys of a newer version", "first", revision.document.unknown[0])
	}
	for _, key := range slices.Sorted(maps.Keys(c.subscribers)) {
		c.subscribers[key](revision)
	}
	return true
}

// Subscribe calls f with the revision in force, if there is one, and with each later
// revision in order. f must not block and must not call back into Subscribe or Offer.
// The function returned ends the subscription.
func (c *Copy) Subscribe(f func(*Revision)) (cancel func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := c.next
	c.next++
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
