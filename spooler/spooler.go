package spooler

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

const (
	// DefaultBufferSize is the size of the buffer in bytes. It holds the owner's lines of
	// 1 s on a fleet of 350 workers, and takes 2% of the memory of the smallest entry VM.
	DefaultBufferSize = 2 << 20
	// DefaultRate is how many lines of one kind are written per second on average: twice
	// the expected peak rate of an owner's starts.
	DefaultRate = 4000
	// burstSeconds is the size of a burst of lines of one kind, as seconds of the rate.
	burstSeconds = 2
	// reportInterval is how often dropped lines are reported.
	reportInterval = time.Second
	// maxKinds is the number of kinds with a rate limit of their own. A kind is a constant
	// message in the code, so only a programming error makes more.
	maxKinds = 1000
)

// ErrBufferTooSmall means that the buffer is too small to be sure to hold one line.
var ErrBufferTooSmall = errors.New("buffer for log lines is below 4 KiB")

// minBufferSize is the smallest buffer size in bytes.
const minBufferSize = 4 << 10

// Spooler writes log lines to a writer in the background. It is safe for concurrent use.
type Spooler struct {
	out        io.Writer
	json       bool
	logger     hclog.Logger // writes directly to out
	bufferSize int
	rate       rate.Limit
	dropped    metrics.Counter
	wakeup     chan struct{} // of capacity 1: lines are pending, or Close was called
	done       chan struct{} // closed when run has ended

	mu      sync.Mutex
	pending [][]byte // lines to write, in order
	size    int      // bytes of the pending lines and of those being written, at most bufferSize
	closing bool

	kindsMu sync.Mutex
	kinds   map[string]*rate.Limiter // by kind: at most maxKinds, and "" for all others
}

// Option changes a Spooler under construction.
type Option func(*Spooler)

// WithBufferSize sets the size of the buffer in bytes.
func WithBufferSize(bytes int) Option { return func(s *Spooler) { s.bufferSize = bytes } }

// WithRate sets how many lines of one kind are written per second; 0 means no limit.
// Warnings and errors are not limited.
func WithRate(lines int) Option {
	return func(s *Spooler) {
		s.rate = rate.Limit(lines)
		if lines == 0 {
			s.rate = rate.Inf
		}
	}
}

// WithJSON sets whether the spooler's own lines are JSON objects.
func WithJSON(json bool) Option { return func(s *Spooler) { s.json = json } }

// WithRegistry sets the registry of the metric log.dropped.
func WithRegistry(registry metrics.Registry) Option {
	return func(s *Spooler) { s.dropped = metrics.GetOrRegisterCounter("log.dropped", registry) }
}

// New returns a spooler that writes to out until Close.
func New(out io.Writer, options ...Option) (*Spooler, error) {
	s := &Spooler{
		out: out, bufferSize: DefaultBufferSize, rate: DefaultRate, dropped: metrics.NewCounter(), kinds: map[string]*rate.Limiter{},
		wakeup: make(chan struct{}, 1), done: make(chan struct{}),
	}
	for _, option := range options {
		option(s)
	}
	if s.bufferSize < minBufferSize {
		return nil, ErrBufferTooSmall
	}
	s.logger = hclog.New(&hclog.LoggerOptions{Name: "filberthaven.spooler", Output: out, JSONFormat: s.json})
	go s.run()
	return s, nil
}

// Write queues one line and does not block. A line that does not fit into the buffer or
// comes after Close is dropped and counted.
func (s *Spooler) Write(line []byte) (int, error) {
	s.mu.Lock()
	fits := !s.closing && s.size+len(line) <= s.bufferSize
	if fits {
		s.pending = append(s.pending, append([]byte(nil), line...))
		s.size += len(line)
	}
	s.mu.Unlock()
	if !fits {
		s.dropped.Inc(1)
		return len(line), nil
	}
	s.wake()
	return len(line), nil
}

func (s *Spooler) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// Exclude reports whether a line must be dropped because its kind, the message, exceeds
// the rate. It is the Exclude function of a logger, which calls it before it formats the
// line.
func (s *Spooler) Exclude(level hclog.Level, kind string, _ ...any) bool {
	if level >= hclog.Warn || s.rate == rate.Inf || s.limiterFor(kind).Allow() {
		return false
	}
	s.dropped.Inc(1)
	return true
}

// limiterFor returns the rate limiter of a kind.
func (s *Spooler) limiterFor(kind string) *rate.Limiter {
	s.kindsMu.Lock()
	defer s.kindsMu.Unlock()
	limiter := s.kinds[kind]
	if limiter == nil && len(s.kinds) >= maxKinds {
		kind = "" // the kinds beyond maxKinds share one
		limiter = s.kinds[kind]
	}
	if limiter == nil {
		limiter = rate.NewLimiter(s.rate, max(1, burstSeconds*int(s.rate)))
		s.kinds[kind] = limiter
	}
	return limiter
}

// Dropped returns the number of lines dropped so far.
func (s *Spooler) Dropped() int64 { return s.dropped.Count() }

// run writes lines until Close has been called and no line is pending.
func (s *Spooler) run() {
	defer close(s.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case <-s.wakeup:
		case <-ticker.C:
		}
		reported = s.reportDropped(reported)
		s.mu.Lock()
		lines, closing := s.pending, s.closing
		s.pending = nil
		s.mu.Unlock()
		for _, line := range lines {
			// Without a reader the error can't be reported; the line counts as dropped.
			if _, err := s.out.Write(line); err != nil {
				s.dropped.Inc(1)
			}
			s.mu.Lock()
			s.size -= len(line)
			s.mu.Unlock()
		}
		if closing && len(lines) == 0 {
			return
		}
		if closing {
			s.wake()
		}
	}
}

// reportDropped logs how many lines were dropped beyond the number reported before, and
// returns the number of lines dropped so far.
func (s *Spooler) reportDropped(reported int64) int64 {
	dropped := s.Dropped()
	if dropped == reported {
		return reported
	}
	s.logger.Warn("log lines dropped", "dropped", dropped-reported, "in_all", dropped)
	return dropped
}

// Close ends the spooler when all pending lines are written. If ctx ends first, it
// returns the error of ctx, and the lines are still written in the background.
func (s *Spooler) Close(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	s.wake()
	select {
	case <-s.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
