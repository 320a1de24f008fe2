package journaler_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"filberthaven.example/emulator"
	"filberthaven.example/journaler"
	"github.com/anishathalye/porcupine"
)

// operation is an append, or the read of the whole journal by Open.
type operation struct {
	record string // empty for a read
}

// result is what an operation returned.
type result struct {
	err     error    // of an append
	length  int      // number of records that a read found
	last    string   // newest record that a read found
	records []string // all records that a read found
}

// sequentialModel models the journal as a string of records, each followed by a space. The
// record of an append with an unknown outcome may or may not be in it.
func sequentialModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(state, input, output any) []any {
			journal, op, r := state.(string), input.(operation), output.(result)
			if op.record == "" {
				records := split(journal)
				if len(records) == r.length && (r.length == 0 || records[len(records)-1] == r.last) {
					return []any{journal}
				}
				return nil
			}
			switch {
			case r.err == nil:
				return []any{journal + op.record + " "}
			case errors.Is(r.err, journaler.ErrOutcomeUnknown):
				return []any{journal, journal + op.record + " "}
			default:
				return []any{journal}
			}
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return model.ToModel()
}

// split returns the records in a state of the model.
func split(state string) []string { return strings.Fields(state) }

// history collects operations with the times of their start and end.
type history struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
}

// add adds an operation that began at start and ends now.
func (h *history) add(client int, op operation, r result, start time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ended := time.Since(h.start).Nanoseconds()
	if errors.Is(r.err, journaler.ErrOutcomeUnknown) {
		ended = int64(time.Hour) // it may still take effect
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: op, Output: r, Call: start.Sub(h.start).Nanoseconds(), Return: ended,
	})
}

// runClients starts clients that append through an owner until the context ends.
func (h *history) runClients(ctx context.Context, group *sync.WaitGroup, o *owner, term uint64) {
	for client := range 3 {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				op := operation{record: fmt.Sprintf("%d.%d.%d", term, client, n)}
				callCtx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
				start := time.Now()
				err := o.Append(callCtx, []byte(op.record))
				cancel()
				h.add(int(term)*10+client, op, result{err: err}, start)
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
}

// openOwner opens the journal as a new owner and adds the read to the history.
func (h *history) openOwner(store *emulator.Store, term uint64) (*owner, error) {
	o := &owner{client: store.Client(fmt.Sprint("owner", term))}
	j, err := journaler.New(o.client.KV(), shard, journaler.WithSlots(64), journaler.WithRate(1000))
	if err != nil {
		return nil, err
	}
	o.Journaler = j
	start := time.Now()
	recovery, err := j.Open(context.Background(), term)
	if err != nil {
		return nil, err
	}
	read := result{length: len(recovery.Records())}
	for _, r := range recovery.Records() {
		read.records = append(read.records, string(r))
	}
	if read.length > 0 {
		read.last = string(recovery.Records()[read.length-1])
	}
	h.add(int(term)*10+9, operation{}, read, start)
	return o, nil
}

// recordHistory runs four owners under faults, each overlapping the next, and returns
// the operations.
func recordHistory(store *emulator.Store, seed uint64) ([]porcupine.Operation, error) {
	random := rand.New(rand.NewPCG(seed, seed))
	h := &history{start: time.Now()}
	var group sync.WaitGroup
	var owners []*owner
	for term := range uint64(4) {
		store.SetFaults(emulator.StaleReads(0.2))
		o, err := h.openOwner(store, term+1)
		if err != nil {
			return nil, err
		}
		owners = append(owners, o)
		ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
		defer cancel()
		o.client.SetFaults(emulator.LoseResponses(0.3*random.Float64()), emulator.StaleReads(0.3),
			emulator.LateWrites(0.2*random.Float64(), 100*time.Millisecond), emulator.FailReads(0.2))
		h.runClients(ctx, &group, o, term+1)
		time.Sleep(400 * time.Millisecond)
	}
	group.Wait()
	for _, o := range owners {
		o.Abort()
	}
	time.Sleep(time.Second) // longer than the delay of late writes
	store.SetFaults()
	last, err := h.openOwner(store, 5)
	if err != nil {
		return nil, err
	}
	last.Abort()
	return resolveUnknown(h.operations), nil
}

// resolveUnknown replaces the unknown outcomes of appends by those that the last read
// shows. The journal only grows: a record that this read lacks was never in it, and a
// record that it holds was appended at some time after its call. So the checker accepts
// the same histories without having to try both outcomes of each such append.
func resolveUnknown(operations []porcupine.Operation) []porcupine.Operation {
	present := operations[len(operations)-1].Output.(result).records
	var resolved []porcupine.Operation
	for _, op := range operations {
		if r := op.Output.(result); errors.Is(r.err, journaler.ErrOutcomeUnknown) {
			if !slices.Contains(present, op.Input.(operation).record) {
				continue
			}
			op.Output = result{}
		}
		resolved = append(resolved, op)
	}
	return resolved
}

func TestLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			var operations []porcupine.Operation
			var err error
			synctest.Test(t, func(*testing.T) {
				operations, err = recordHistory(emulator.NewStore(emulator.WithSeed(seed)), seed)
			})
			if err != nil {
				t.Fatal(err)
			}
			result := porcupine.CheckOperationsTimeout(sequentialModel(), operations, time.Minute)
			if result != porcupine.Ok {
				t.Fatalf("%s: %d operations", result, len(operations))
			}
		})
	}
}
