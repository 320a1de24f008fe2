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
	// DefaultBatchDelay is how long records gather before a segment goes out.
	DefaultBatchDelay = 3 * time.Millisecond
	// DefaultSlots is the number of slots of the ring.
	DefaultSlots = 256
	// DefaultRate is how many segments a second go out over a longer time.
	DefaultRate rate.Limit = 25
	// RecordLimit is the largest record in bytes.
	RecordLimit = 256 << 10
	// segmentLimit is the size in bytes at which a segment takes no more records.
	segmentLimit = 512 << 10
	// stallLimit is how long a write may take before new records are refused.
	stallLimit = time.Second
	// attemptTimeout bounds one call to the service.
	attemptTimeout = time.Second
	// reserve is the number of slots that only opening segments may use.
	reserve = 4
	// minSlots is the smallest ring.
	minSlots = 4 * reserve
)

// Errors of an append. A caller tests for them with errors.Is.
var (
	// ErrDeposed means that another owner has the journal; the record is not in
	// it and never will be.
	ErrDeposed = errors.New("shard has another owner")
	// ErrUnavailable means that the record is not in the journal and never will be.
	ErrUnavailable = keeper.ErrUnavailable
	// ErrOutcomeUnknown means that the record may be in the journal, or may yet be.
	ErrOutcomeUnknown = keeper.ErrOutcomeUnknown
	// ErrTooLarge means that the record is over RecordLimit.
	ErrTooLarge = errors.New("record too large")
)

// Journaler is the journal of one shard, as seen by its owner.
type Journaler struct {
	store    keeper.Store
	shard    string
	window   time.Duration
	slots    uint64 // at least minSlots
	limiter  *rate.Limiter
	log      hclog.Logger
	metrics  journalMetrics
	snapshot func() []byte // nil until set; set before Open

	kick    chan struct{} // of capacity 1; a record waits, or Close was called
	stopped chan struct{} // closed when the writer has ended
	stop    context.CancelFunc

	mu       sync.Mutex
	queue    []*item       // not part of a segment, in order of admission
	flying   []*item       // of the segment that is out; admitted before those queued
	waiting  int           // bytes in queue
	admitted uint64        // items ever admitted
	failures uint64        // items admitted that failed
	trouble  time.Time     // since when the writer can't write; zero when it can
	closing  bool          // no more records are admitted; what is queued is written
	ended    error         // why the journal is over, nil while it is open
	progress chan struct{} // closed whenever items were settled
	covered  uint64        // newest segment that the manifest covers
	loose    int           // bytes of the segments that no snapshot covers
	weight   int           // bytes of the newest snapshot
	snapping bool          // whether a snapshot is being written

	packer    packer
	ring      ring           // used by Open, then by the writer
	newest    stored         // used by Open, then by whoever sets snapping
	snappings sync.WaitGroup // snapshots being written
}

// ring is what the writer knows of the slots.
type ring struct {
	term     uint64
	sequence uint64   // of the newest segment
	versions []uint64 // of the slots; 0 when absent
}

// stored is the manifest as it stands in the service.
type stored struct {
	manifest manifest
	version  uint64   // 0 when there is none
	chunks   []uint64 // versions of the chunks
	swept    bool     // whether chunks of earlier owners were deleted
}

// journalMetrics counts what is written.
type journalMetrics struct {
	segments, records, bytes, snapshots metrics.Counter
}

// Option changes a Journaler under construction.
type Option func(*Journaler)

// WithBatchDelay sets how long records gather before a segment goes out.
func WithBatchDelay(window time.Duration) Option { return func(j *Journaler) { j.window = window } }

// WithSlots sets the number of slots of the ring, which must stay the same for
// the life of a shard.
func WithSlots(slots int) Option { return func(j *Journaler) { j.slots = uint64(max(0, slots)) } }

// WithRate sets how many segments a second go out over a longer time, with
// bursts of a second's worth. Faster records gather into larger segments.
func WithRate(limit rate.Limit) Option {
	return func(j *Journaler) { j.limiter = newLimiter(limit) }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(j *Journaler) { j.log = log.Named("journaler").With("shard", j.shard) }
}

// WithRegistry counts in that registry: journal.segments, journal.records,
// journal.bytes and journal.snapshots.
func WithRegistry(registry metrics.Registry) Option {
	return func(j *Journaler) { j.metrics = newMetrics(registry) }
}

// New returns the journal of a shard. Open has to be called before appending.
func New(store keeper.Store, shard string, options ...Option) (*Journaler, error) {
	j := &Journaler{
		store:    store,
		shard:    shard,
		window:   DefaultBatchDelay,
		slots:    DefaultSlots,
		limiter:  newLimiter(DefaultRate),
		log:      hclog.NewNullLogger(),
		metrics:  newMetrics(metrics.NewRegistry()),
		kick:     make(chan struct{}, 1),
		stopped:  make(chan struct{}),
		progress: make(chan struct{}),
	}
	for _, option := range options {
		option(j)
	}
	if shard == "" {
		return nil, oops.In("journaler").Errorf("shard has no name")
	}
	if j.slots < minSlots {
		return nil, oops.In("journaler").With("shard", shard).Errorf("ring of %d slots is below %d", j.slots, minSlots)
	}
	var err error
	if j.packer, err = newPacker(); err != nil {
		return nil, err
	}
	return j, nil
}

// newLimiter allows bursts of a second's worth.
func newLimiter(limit rate.Limit) *rate.Limiter { return rate.NewLimiter(limit, max(1, int(limit))) }

// newMetrics registers the counters.
func newMetrics(registry metrics.Registry) journalMetrics {
	return journalMetrics{
		segments:  metrics.GetOrRegisterCounter("journal.segments", registry),
		records:   metrics.GetOrRegisterCounter("journal.records", registry),
		bytes:     metrics.GetOrRegisterCounter("journal.bytes", registry),
		snapshots: metrics.GetOrRegisterCounter("journal.snapshots", registry),
	}
}

// SetSnapshotter sets what returns the state for a snapshot; it has to be set
// before Open. The state may hold the effects of any records enqueued so far,
// must hold those of all records whose done was called with nil, and must not
// hold those of a record that failed. A record may be replayed onto a state
// that holds its effect already.
func (j *Journaler) SetSnapshotter(snapshot func() []byte) { j.snapshot = snapshot }

// Term returns the term that the journal was opened under.
func (j *Journaler) Term() uint64 { return j.ring.term }

// Err returns why the journal is over: ErrDeposed, ErrDamaged or ErrVersion, or
// ErrUnavailable after a Close; nil while it is open.
func (j *Journaler) Err() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ended
}

// Done is closed when the journal is over.
func (j *Journaler) Done() <-chan struct{} { return j.stopped }

// slotKey returns the key of the slot for a sequence number.
func (j *Journaler) slotKey(sequence uint64) string {
	return fmt.Sprintf("%s%06d", j.prefix(), sequence%j.slots)
}

// prefix returns the prefix of the slots and the manifest.
func (j *Journaler) prefix() string { return "journal/" + j.shard + "/" }

// manifestKey returns the key of the manifest.
func (j *Journaler) manifestKey() string { return j.prefix() + "manifest" }

// chunkPrefix returns the prefix of the chunks of all snapshots.
func (j *Journaler) chunkPrefix() string { return "snapshot/" + j.shard + "/" }

// chunkKey returns the key of one chunk of a snapshot.
func chunkKey(name string, n int) string { return fmt.Sprintf("%s/%06d", name, n) }
