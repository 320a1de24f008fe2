package journaler

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"filberthaven.example/keeper"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"
	"golang.org/x/time/rate"
)

const (
	// DefaultBatchDelay is how long records are batched before a segment is written.
	DefaultBatchDelay = 3 * time.Millisecond
	// DefaultSlots is the number of slots of the ring.
	DefaultSlots = 256
	// DefaultRate is the sustained rate of segments per second.
	DefaultRate rate.Limit = 25
	// RecordLimit is the largest record in bytes that is not mandatory.
	RecordLimit = 16 << 20
	// segmentLimit is the largest total size in bytes of the records of a segment, or of the
	// parts of records.
	segmentLimit = 512 << 10
	// stallTimeout is how long writing may fail or hang before new records are
	// refused.
	stallTimeout = time.Second
	// attemptTimeout bounds one call to the store.
	attemptTimeout = time.Second
	// firstTimeout bounds the first attempt of an empty write, and timePerByte is added for
	// each byte. A write without an answer is thus made again before the journal counts as
	// stalled, but not while a store that is 90 times slower than usual answers, or while the
	// write passes a link of 10 Mbit/s.
	firstTimeout = 400 * time.Millisecond
	timePerByte  = 2 * time.Microsecond
	// reservedSlots is the number of slots that records never take. When no other
	// slot is free, no records are written until a snapshot has freed slots.
	reservedSlots = 4
	// minSlots is the smallest number of slots of a ring.
	minSlots = 4 * reservedSlots
)

// Errors of an append. Callers test for them with errors.Is.
var (
	// ErrDeposed means that another owner has taken over the journal. The record is not
	// in the journal and never will be.
	ErrDeposed = errors.New("shard has another owner")
	// ErrUnavailable means that the record is not in the journal and never will be.
	ErrUnavailable = keeper.ErrUnavailable
	// ErrOutcomeUnknown means that the record may be in the journal or may still get
	// there.
	ErrOutcomeUnknown = keeper.ErrOutcomeUnknown
	// ErrTooLarge means that the record is larger than RecordLimit.
	ErrTooLarge = errors.New("record too large")
)

// Journaler is the journal of one shard during one term of its owner.
type Journaler struct {
	store       keeper.Store
	shard       string
	batchDelay  time.Duration
	slots       uint64 // at least minSlots
	limiter     *rate.Limiter
	log         hclog.Logger
	metrics     journalMetrics
	snapshotter func() []byte // nil until set; set before Open

	wakeup chan struct{}      // of capacity 1; signals a queued record or a call of Close
	done   chan struct{}      // closed when the journal has ended
	cancel context.CancelFunc // ends the writer; nil until it is started

	mu               sync.Mutex    // guards the fields of this group
	queue            []*item       // not yet in a segment, in order of admission
	inFlight         []*item       // the batch being written; admitted before the queued items
	queuedBytes      int           // total size of the queued records
	lastID           uint64        // of the newest admitted item; 0 if none
	failures         uint64        // number of admitted items that failed or were withdrawn
	blockedSince     time.Time     // start of the first write after the last success; zero if none
	closing          bool          // no more records are admitted; queued ones are still written
	endErr           error         // why the journal has ended; nil before that
	progress         chan struct{} // closed and replaced when items are resolved or withdrawn
	snapshotSequence uint64        // newest segment that the newest snapshot covers
	uncoveredBytes   int           // size of the segments that no snapshot covers
	snapshotBytes    int           // size of the newest snapshot
	snapshotting     bool          // whether a snapshot is being written

	packer         packer
	ring           ring           // used by Open, then by the writer
	manifest       storedManifest // of the newest snapshot; used by Open, then by the one snapshot being written
	snapshotWrites sync.WaitGroup // snapshots being written
}

// ring is the writer's view of the slots.
type ring struct {
	term     uint64
	sequence uint64   // of the newest segment
	versions []uint64 // by slot; 0 for a slot never written
}

// storedManifest is the manifest as last read from or written to the store.
type storedManifest struct {
	body    manifest
	version uint64   // 0 if there is none
	chunks  []uint64 // versions of the snapshot's chunks
	swept   bool     // whether leftover chunks of earlier owners were deleted
}

// journalMetrics counts what is written to the store.
type journalMetrics struct {
	segments, records, bytes, snapshots metrics.Counter
}

// Option configures a Journaler.
type Option func(*Journaler)

// WithBatchDelay sets how long records are batched before a segment is written.
func WithBatchDelay(delay time.Duration) Option { return func(j *Journaler) { j.batchDelay = delay } }

// WithSlots sets the number of slots of the ring. It must never change for a
// shard that has a journal.
func WithSlots(slots int) Option { return func(j *Journaler) { j.slots = uint64(max(0, slots)) } }

// WithRate sets the sustained rate of segments per second, with bursts of one
// second's worth. Records that come faster are batched into larger segments.
func WithRate(limit rate.Limit) Option {
	return func(j *Journaler) { j.limiter = newLimiter(limit) }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(j *Journaler) { j.log = log.Named("journaler").With("shard", j.shard) }
}

// WithRegistry sets the registry of the counters journal.segments,
// journal.records, journal.bytes and journal.snapshots.
func WithRegistry(registry metrics.Registry) Option {
	return func(j *Journaler) { j.metrics = newMetrics(registry) }
}

// New returns the journal of a shard. It writes records only after Open.
func New(store keeper.Store, shard string, options ...Option) (*Journaler, error) {
	j := &Journaler{
		store:      store,
		shard:      shard,
		batchDelay: DefaultBatchDelay,
		slots:      DefaultSlots,
		limiter:    newLimiter(DefaultRate),
		log:        hclog.NewNullLogger(),
		metrics:    newMetrics(metrics.NewRegistry()),
		wakeup:     make(chan struct{}, 1),
		done:       make(chan struct{}),
		progress:   make(chan struct{}),
	}
	for _, option := range options {
		option(j)
	}
	if shard == "" {
		return nil, oops.In("journaler").Errorf("shard name is empty")
	}
	if j.slots < minSlots {
		return nil, oops.In("journaler").With("shard", shard).Errorf("ring of %d slots is below the minimum of %d", j.slots, minSlots)
	}
	var err error
	if j.packer, err = newPacker(); err != nil {
		return nil, err
	}
	return j, nil
}

// newLimiter returns a limiter that allows bursts of one second's worth.
func newLimiter(limit rate.Limit) *rate.Limiter { return rate.NewLimiter(limit, max(1, int(limit))) }

func newMetrics(registry metrics.Registry) journalMetrics {
	return journalMetrics{
		segments:  metrics.GetOrRegisterCounter("journal.segments", registry),
		records:   metrics.GetOrRegisterCounter("journal.records", registry),
		bytes:     metrics.GetOrRegisterCounter("journal.bytes", registry),
		snapshots: metrics.GetOrRegisterCounter("journal.snapshots", registry),
	}
}

// SetSnapshotter sets the function that returns the state for a snapshot. It must
// be called before Open. The state must hold the effects of all records whose done
// was called with nil and must not hold those of a record that failed. It may hold
// those of any other record enqueued so far. A record may be replayed onto a state
// that already holds its effects.
func (j *Journaler) SetSnapshotter(snapshotter func() []byte) { j.snapshotter = snapshotter }

// Term returns the term under which the journal was opened.
func (j *Journaler) Term() uint64 { return j.ring.term }

// Err returns why the journal has ended: ErrDeposed, ErrCorrupt,
// ErrUnsupportedFormat, or ErrUnavailable after Close or Abort. It returns nil
// before that.
func (j *Journaler) Err() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.endErr
}

// Done returns a channel that is closed when the journal has ended.
func (j *Journaler) Done() <-chan struct{} { return j.done }

// slotKey returns the key of the slot of a segment.
func (j *Journaler) slotKey(sequence uint64) string {
	return fmt.Sprintf("%s%06d", j.prefix(), sequence%j.slots)
}

// prefix returns the key prefix of the slots and the manifest.
func (j *Journaler) prefix() string { return "journal/" + j.shard + "/" }

func (j *Journaler) manifestKey() string { return j.prefix() + "manifest" }

// chunkPrefix returns the key prefix of the chunks of all snapshots.
func (j *Journaler) chunkPrefix() string { return "snapshot/" + j.shard + "/" }

// chunkKey returns the key of chunk n of the snapshot called name.
func chunkKey(name string, n int) string { return fmt.Sprintf("%s/%06d", name, n) }
