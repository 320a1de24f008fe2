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
	// DefaultBufferSize is how many bytes of lines wait for the reader: a second of the
	// owner's lines on a fleet of 350 workers, and 2% of the smallest entry VM.
	DefaultBufferSize = 2 << 20
	// DefaultRate is how many lines of one kind are written in a second over a longer
	// time: twice the starts that are expected of an owner at the peak.
	DefaultRate = 4000
	// burstTime is how many seconds of the rate may come at once.
	burstTime = 2
	// toldInterval is how often dropped lines are told.
	toldInterval = time.Second
	// kindLimit bounds the kinds that are told apart; kinds are constants of the
	// code, so only a mistake makes more.
	kindLimit = 1000
)

// ErrBufferTooSmall means that the room for waiting lines is too small for one line.
var ErrBufferTooSmall = errors.New("room for log lines is below 4 KiB")

// leastRoom is the least room in bytes.
const leastRoom = 4 << 10

// Spooler passes lines on to a writer. It is safe for several goroutines.
type Spooler struct {
	out     io.Writer
	json    bool
	own     hclog.Logger // straight to out
	room    int
	rate    rate.Limit
	dropped metrics.Counter
	wake    chan struct{} // of capacity 1: lines wait, or Close was called
	ended   chan struct{} // closed when the writing has ended

	mu      sync.Mutex
	waiting [][]byte // not yet written, in order
	size    int      // bytes of waiting, never over room
	closing bool

	kindsMu sync.Mutex
	kinds   map[string]*rate.Limiter // by kind, at most kindLimit and one for all others
}

// Option changes a Spooler under construction.
type Option func(*Spooler)

// WithBufferSize sets how many bytes of lines may wait for the reader.
func WithBufferSize(bytes int) Option { return func(s *Spooler) { s.room = bytes } }

// WithRate sets how many lines of a kind are written in a second; 0 means any
// number. Warnings and errors are never left out.
func WithRate(lines int) Option {
	return func(s *Spooler) {
		s.rate = rate.Limit(lines)
		if lines == 0 {
			s.rate = rate.Inf
		}
	}
}

// WithJSON has the spooler tell what it dropped as JSON.
func WithJSON(json bool) Option { return func(s *Spooler) { s.json = json } }

// WithRegistry counts what is dropped in that registry, as log.dropped.
func WithRegistry(registry metrics.Registry) Option {
	return func(s *Spooler) { s.dropped = metrics.GetOrRegisterCounter("log.dropped", registry) }
}

// New returns a spooler that writes to out until Close.
func New(out io.Writer, options ...Option) (*Spooler, error) {
	s := &Spooler{
		out: out, room: DefaultBufferSize, rate: DefaultRate, dropped: metrics.NewCounter(), kinds: map[string]*rate.Limiter{},
		wake: make(chan struct{}, 1), ended: make(chan struct{}),
	}
	for _, option := range options {
		option(s)
	}
	if s.room < leastRoom {
		return nil, ErrBufferTooSmall
	}
	s.own = hclog.New(&hclog.LoggerOptions{Name: "filberthaven.spooler", Output: out, JSONFormat: s.json})
	go s.run()
	return s, nil
}

// Write takes one line. It never waits: a line without room is dropped and counted.
func (s *Spooler) Write(line []byte) (int, error) {
	s.mu.Lock()
	fits := !s.closing && s.size+len(line) <= s.room
	if fits {
		s.waiting = append(s.waiting, append([]byte(nil), line...))
		s.size += len(line)
	}
	s.mu.Unlock()
	if !fits {
		s.dropped.Inc(1)
		return len(line), nil
	}
	s.poke()
	return len(line), nil
}

func (s *Spooler) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Exclude reports whether a line is to be left out as its kind, the message, came
// too often; hclog asks before it formats the line.
func (s *Spooler) Exclude(level hclog.Level, kind string, _ ...any) bool {
	if level >= hclog.Warn || s.rate == rate.Inf || s.limiter(kind).Allow() {
		return false
	}
	s.dropped.Inc(1)
	return true
}

// limiter returns the limiter of a kind.
func (s *Spooler) limiter(kind string) *rate.Limiter {
	s.kindsMu.Lock()
	defer s.kindsMu.Unlock()
	limiter := s.kinds[kind]
	if limiter == nil && len(s.kinds) >= kindLimit {
		kind = "" // all that are too many share one
		limiter = s.kinds[kind]
	}
	if limiter == nil {
		limiter = rate.NewLimiter(s.rate, max(1, burstTime*int(s.rate)))
		s.kinds[kind] = limiter
	}
	return limiter
}

// Dropped returns the number of lines left out so far.
func (s *Spooler) Dropped() int64 { return s.dropped.Count() }

// run writes until Close has been called and nothing waits.
func (s *Spooler) run() {
	defer close(s.ended)
	ticker := time.NewTicker(toldInterval)
	defer ticker.Stop()
	told := int64(0)
	for {
		select {
		case <-s.wake:
		case <-ticker.C:
		}
		told = s.tell(told)
		s.mu.Lock()
		lines, closing := s.waiting, s.closing
		s.waiting = nil
		s.mu.Unlock()
		for _, line := range lines {
			// A reader that is gone can be told nothing; the line counts as dropped.
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
			s.poke()
		}
	}
}

// tell writes how many lines were dropped since the number told before, and returns
// the number told now.
func (s *Spooler) tell(told int64) int64 {
	dropped := s.Dropped()
	if dropped == told {
		return told
	}
	s.own.Warn("log lines dropped", "dropped", dropped-told, "in_all", dropped)
	return dropped
}

// Close writes what waits and ends. It returns the error of ctx if that takes too
// long; what waits then is lost.
func (s *Spooler) Close(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	s.poke()
	select {
	case <-s.ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
