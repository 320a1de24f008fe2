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

// outcome is the result of an operation.
type outcome struct {
	err    error
	length int      // number of records, of a read
	last   string   // newest record, of a read
	all    []string // all records, of a read
}

// sequentialModel models the journal as one list of records, separated by spaces. An
// append with an unknown outcome may or may not be in it.
func sequentialModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(state, input, output any) []any {
			records, op, o := state.(string), input.(operation), output.(outcome)
			if op.record == "" {
				list := split(records)
				if len(list) == o.length && (o.length == 0 || list[len(list)-1] == o.last) {
					return []any{records}
				}
				return nil
			}
			switch {
			case o.err == nil:
				return []any{records + op.record + " "}
			case errors.Is(o.err, journaler.ErrOutcomeUnknown):
				return []any{records, records + op.record + " "}
			default:
				return []any{records}
			}
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return model.ToModel()
}

// split returns the records of a state of the model.
func split(records string) []string { return strings.Fields(records) }

// history collects operations with the times of their start and end.
type history struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
}

// add adds an operation that began at start and ends now.
func (h *history) add(client int, op operation, o outcome, start time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ended := time.Since(h.start).Nanoseconds()
	if errors.Is(o.err, journaler.ErrOutcomeUnknown) {
		ended = int64(time.Hour) // it may still take effect
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: op, Output: o, Call: start.Sub(h.start).Nanoseconds(), Return: ended,
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
				h.add(int(term)*10+client, op, outcome{err: err}, start)
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
	found := outcome{length: len(recovery.Records())}
	for _, r := range recovery.Records() {
		found.all = append(found.all, string(r))
	}
	if found.length > 0 {
		found.last = string(recovery.Records()[found.length-1])
	}
	h.add(int(term)*10+9, operation{}, found, start)
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
		o.client.SetFaults(emulator.LoseAnswers(0.3*random.Float64()), emulator.StaleReads(0.3),
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

// resolveUnknown replaces unknown outcomes by those that the last read shows. The
// journal only grows: a record that is missing there was never in it, and one that is
// there was appended at some time after its call. So the checker accepts the same
// histories without having to try both outcomes of each such append.
func resolveUnknown(operations []porcupine.Operation) []porcupine.Operation {
	found := operations[len(operations)-1].Output.(outcome).all
	var resolved []porcupine.Operation
	for _, op := range operations {
		if o := op.Output.(outcome); errors.Is(o.err, journaler.ErrOutcomeUnknown) {
			if !slices.Contains(found, op.Input.(operation).record) {
				continue
			}
			op.Output = outcome{}
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
