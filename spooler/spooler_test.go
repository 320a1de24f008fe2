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

// output collects the written lines. Its writes can be blocked, as those to a pipe whose
// reader has stopped.
type output struct {
	mu        sync.Mutex
	text      bytes.Buffer
	unblocked chan struct{} // writes block until it is closed
}

func newOutput(unblocked bool) *output {
	o := &output{unblocked: make(chan struct{})}
	if unblocked {
		close(o.unblocked)
	}
	return o
}

func (o *output) Write(line []byte) (int, error) {
	<-o.unblocked
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(line)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

func newLogger(c *qt.C, out *output, options ...spooler.Option) (hclog.Logger, *spooler.Spooler) {
	c.Helper()
	s, err := spooler.New(out, options...)
	c.Assert(err, qt.IsNil)
	return hclog.New(&hclog.LoggerOptions{Output: s, Level: hclog.Info, Exclude: s.Exclude}), s
}

func TestLinesInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := newOutput(true)
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

// TestBlockedOutput checks that a blocked output delays no caller, and that the dropped
// lines are reported to it once it is unblocked.
func TestBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := newOutput(false)
		registry := metrics.NewRegistry()
		log, s := newLogger(c, out, spooler.WithBufferSize(8<<10), spooler.WithRegistry(registry), spooler.WithRate(0))
		start := time.Now()
		for n := range 1000 {
			log.Info("line", "n", n)
		}
		c.Assert(time.Since(start), qt.Equals, time.Duration(0))
		c.Assert(s.Dropped() > 0, qt.IsTrue)
		c.Assert(registry.Get("log.dropped").(metrics.Counter).Count(), qt.Equals, s.Dropped())
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		c.Assert(errors.Is(s.Close(ctx), context.DeadlineExceeded), qt.IsTrue)
		close(out.unblocked)
		c.Assert(s.Close(context.Background()), qt.IsNil)
		c.Assert(strings.Contains(out.String(), "log lines dropped"), qt.IsTrue)
		c.Assert(strings.Contains(out.String(), "n=0\n"), qt.IsTrue)
	})
}

// TestRatePerMessage checks that lines with the same message do not crowd out the others,
// and that warnings are not limited.
func TestRatePerMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := newOutput(true)
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
	_, err := spooler.New(newOutput(true), spooler.WithBufferSize(100))
	qt.Assert(t, errors.Is(err, spooler.ErrBufferTooSmall), qt.IsTrue)
}

// BenchmarkLine measures the cost of a line for the caller.
func BenchmarkLine(b *testing.B) {
	s, err := spooler.New(newOutput(true))
	if err != nil {
		b.Fatal(err)
	}
	log := hclog.New(&hclog.LoggerOptions{Output: s, Level: hclog.Info})
	for n := range b.N {
		log.Info("start", "task", "84d2765b4bd11fa2.0.0.1", "run", n, "worker", "i-16970bd8b3", "reason", "room")
	}
}
