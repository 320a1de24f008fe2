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
	// DefaultRate is how many lines with the same message are written per second on
	// average: twice the expected peak rate of an owner's starts.
	DefaultRate = 4000
	// burstSeconds is the size of a burst of lines with the same message, in seconds of
	// the rate.
	burstSeconds = 2
	// reportInterval is how often dropped lines are reported.
	reportInterval = time.Second
	// maxLimiters is the number of messages with a rate limit of their own. Messages are
	// constants in the code, so only a programming error makes more.
	maxLimiters = 1000
)

// ErrBufferTooSmall means that the buffer might not hold a long line.
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
	size    int      // bytes of the pending lines and of those taken to be written, at most bufferSize
	closing bool

	limitersMu sync.Mutex
	limiters   map[string]*rate.Limiter // by message: at most maxLimiters, and "" for all others
}

// Option changes a Spooler under construction.
type Option func(*Spooler)

// WithBufferSize sets the size of the buffer in bytes.
func WithBufferSize(bytes int) Option { return func(s *Spooler) { s.bufferSize = bytes } }

// WithRate sets how many lines with the same message are written per second; 0 means no
// limit.
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
		out: out, bufferSize: DefaultBufferSize, rate: DefaultRate, dropped: metrics.NewCounter(), limiters: map[string]*rate.Limiter{},
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

// Exclude reports whether a line must be dropped because its message exceeds the rate, and
// counts it as dropped. It is for hclog.LoggerOptions.Exclude, which a logger calls before
// it formats a line.
func (s *Spooler) Exclude(level hclog.Level, message string, _ ...any) bool {
	if level >= hclog.Warn || s.rate == rate.Inf || s.limiterFor(message).Allow() {
		return false
	}
	s.dropped.Inc(1)
	return true
}

// limiterFor returns the rate limiter of a message.
func (s *Spooler) limiterFor(message string) *rate.Limiter {
	s.limitersMu.Lock()
	defer s.limitersMu.Unlock()
	limiter := s.limiters[message]
	if limiter == nil && len(s.limiters) >= maxLimiters {
		message = "" // messages beyond maxLimiters share one limiter
		limiter = s.limiters[message]
	}
	if limiter == nil {
		limiter = rate.NewLimiter(s.rate, max(1, burstSeconds*int(s.rate)))
		s.limiters[message] = limiter
	}
	return limiter
}

// Dropped returns the number of lines dropped so far.
func (s *Spooler) Dropped() int64 { return s.dropped.Count() }

// run writes the pending lines until Close has been called and none is left.
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
			// A failed write can't be reported in the log. The line counts as dropped.
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

// reportDropped logs how many lines were dropped since the last report. It takes the
// number reported so far and returns the new one.
func (s *Spooler) reportDropped(reported int64) int64 {
	dropped := s.Dropped()
	if dropped == reported {
		return reported
	}
	s.logger.Warn("log lines dropped", "dropped", dropped-reported, "in_all", dropped)
	return dropped
}

// Close waits until all pending lines are written and ends the spooler. If ctx ends first,
// Close returns the error of ctx, and the lines are still written in the background.
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
