package spooler_test

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"filberthaven.example/spooler"
	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// reader collects the written lines. It can be blocked.
type reader struct {
	mu        sync.Mutex
	text      bytes.Buffer
	unblocked chan struct{} // closed when it reads
}

func newReader(unblocked bool) *reader {
	r := &reader{unblocked: make(chan struct{})}
	if unblocked {
		close(r.unblocked)
	}
	return r
}

func (r *reader) Write(line []byte) (int, error) {
	<-r.unblocked
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(line)
}

func (r *reader) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.String()
}

func newLogger(c *qt.C, out *reader, options ...spooler.Option) (hclog.Logger, *spooler.Spooler) {
	c.Helper()
	s, err := spooler.New(out, options...)
	c.Assert(err, qt.IsNil)
	return hclog.New(&hclog.LoggerOptions{Output: s, Level: hclog.Info, Exclude: s.Exclude}), s
}

func TestLinesInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := newReader(true)
		log, s := newLogger(c, out)
		for n := range 100 {
			log.Info("line", "n", n)
		}
		c.Assert(s.Close(context.Background()), qt.IsNil)
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		c.Assert(lines, qt.HasLen, 100)
		c.Assert(strings.HasSuffix(lines[0], "n=0"), qt.IsTrue)
		c.Assert(strings.HasSuffix(lines[99], "n=99"), qt.IsTrue)
		c.Assert(s.Dropped(), qt.Equals, int64(0))
	})
}

// TestBlockedReader checks that a blocked reader delays no caller. When it reads again, it
// gets a report of the dropped lines.
func TestBlockedReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := newReader(false)
		registry := metrics.NewRegistry()
		log, s := newLogger(c, out, spooler.WithBufferSize(8<<10), spooler.WithRegistry(registry), spooler.WithRate(0))
		start := time.Now()
		for n := range 1000 {
			log.Info("line", "n", n)
		}
		c.Assert(time.Since(start), qt.Equals, time.Duration(0))
		c.Assert(s.Dropped() > 0, qt.IsTrue)
		c.Assert(registry.Get("log.dropped").(metrics.Counter).Count(), qt.Equals, s.Dropped())
		bounded, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		c.Assert(errors.Is(s.Close(bounded), context.DeadlineExceeded), qt.IsTrue)
		close(out.unblocked)
		c.Assert(s.Close(context.Background()), qt.IsNil)
		c.Assert(strings.Contains(out.String(), "log lines dropped"), qt.IsTrue)
		c.Assert(strings.Contains(out.String(), "n=0\n"), qt.IsTrue)
	})
}

// TestRatePerKind checks that lines of one kind do not crowd out the others, and that
// warnings are not limited.
func TestRatePerKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := newReader(true)
		log, s := newLogger(c, out, spooler.WithRate(10))
		for range 1000 {
			log.Info("often")
			log.Warn("warning")
		}
		log.Info("seldom")
		time.Sleep(2 * time.Second)
		log.Info("often")
		c.Assert(s.Close(context.Background()), qt.IsNil)
		c.Assert(strings.Count(out.String(), "often"), qt.Equals, 21)
		c.Assert(strings.Count(out.String(), "warning"), qt.Equals, 1000)
		c.Assert(strings.Count(out.String(), "seldom"), qt.Equals, 1)
		c.Assert(strings.Contains(out.String(), "in_all=980"), qt.IsTrue)
	})
}

func TestBufferTooSmall(t *testing.T) {
	_, err := spooler.New(newReader(true), spooler.WithBufferSize(100))
	qt.Assert(t, errors.Is(err, spooler.ErrBufferTooSmall), qt.IsTrue)
}

// BenchmarkLine measures the cost of a line for the caller.
func BenchmarkLine(b *testing.B) {
	s, err := spooler.New(newReader(true))
	if err != nil {
		b.Fatal(err)
	}
	log := hclog.New(&hclog.LoggerOptions{Output: s, Level: hclog.Info})
	for n := range b.N {
		log.Info("start", "task", "84d2765b4bd11fa2.0.0.1", "run", n, "worker", "i-16970bd8b3", "reason", "room")
	}
}
