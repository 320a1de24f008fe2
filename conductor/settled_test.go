package conductor

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"filberthaven.example/placer"
	"filberthaven.example/planner"
	"github.com/frankban/quicktest"
)

// TestAnsweredStartIsSettledAtHandOver checks that a start that was answered after its owner had
// resigned is not held by the next one if its worker loses it: the task would wait for 15 s.
func TestAnsweredStartIsSettledAtHandOver(t *testing.T) {
	for name, answers := range map[string]bool{"answered": true, "no answer": false} {
		t.Run(name, func(t *testing.T) {
			ctx, resign := context.WithCancel(t.Context())
			c, starts := newOrderer(t, 1, func(w http.ResponseWriter, _ *http.Request) {
				resign()
				if !answers {
					panic(http.ErrAbortHandler)
				}
				fmt.Fprint(w, `{"clock-ms":1}`)
			})
			c.ctx = ctx
			c.start(starts[0])
			next := planner.New()
			now := 2 * time.Second
			quicktest.Assert(t, next.Restore(c.snapshot(), nil, now, wallClock(), now), quicktest.IsNil)
			next.Configure(planner.Config{Version: 1, Queues: []planner.Queue{{Name: "q", Service: "s", Stretch: 2, Objective: time.Second}}}, now)
			next.Register(planner.Registration{ID: "w0", Centre: "c", Service: "s", Incarnation: 1, Capacity: placer.NewResources(1000, 1000, 0)}, now)
			next.HandleStatus(planner.WorkerStatus{Worker: "w0", Incarnation: 1, SentAt: now}, now)
			restarted := false
			for _, a := range next.Decide(now, wallClock()) {
				restarted = restarted || a.Kind == planner.Start
			}
			quicktest.Assert(t, restarted, quicktest.Equals, answers)
		})
	}
}
