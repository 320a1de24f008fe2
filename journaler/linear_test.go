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

// call is an append, or the reading that a new owner does when it opens.
type call struct {
	record string // empty for a reading
}

// outcome is what a call returned.
type outcome struct {
	err    error
	length int      // of the journal, in a reading
	last   string   // newest record, in a reading
	all    []string // all records, in the last reading
}

// sequential is the journal as one list of records: an append whose outcome is
// unknown may or may not be in it.
func sequential() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(state, input, output any) []any {
			records, c, o := state.(string), input.(call), output.(outcome)
			if c.record == "" {
				list := split(records)
				if len(list) == o.length && (o.length == 0 || list[len(list)-1] == o.last) {
					return []any{records}
				}
				return nil
			}
			switch {
			case o.err == nil:
				return []any{records + c.record + " "}
			case errors.Is(o.err, journaler.ErrOutcomeUnknown):
				return []any{records, records + c.record + " "}
			default:
				return []any{records}
			}
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return model.ToModel()
}

// split returns the records of a state.
func split(records string) []string { return strings.Fields(records) }

// history collects calls with their times.
type history struct {
	mu         sync.Mutex
	begun      time.Time
	operations []porcupine.Operation
}

// note adds a call that began at start and has ended now.
func (h *history) note(client int, c call, o outcome, start time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ended := time.Since(h.begun).Nanoseconds()
	if errors.Is(o.err, journaler.ErrOutcomeUnknown) {
		ended = int64(time.Hour) // it may yet take effect
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: c, Output: o, Call: start.Sub(h.begun).Nanoseconds(), Return: ended,
	})
}

// appends lets clients append through an owner until the context ends.
func (h *history) appends(ctx context.Context, group *sync.WaitGroup, o *owner, term uint64) {
	for client := range 3 {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c := call{record: fmt.Sprintf("%d.%d.%d", term, client, n)}
				short, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
				start := time.Now()
				err := o.Append(short, []byte(c.record))
				cancel()
				h.note(int(term)*10+client, c, outcome{err: err}, start)
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
}

// reading opens the journal as a new owner and notes what it found.
func (h *history) reading(store *emulator.Store, term uint64) (*owner, error) {
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
	h.note(int(term)*10+9, call{}, found, start)
	return o, nil
}

// record runs owners one after another, each overlapping the next, under faults.
func record(store *emulator.Store, seed uint64) ([]porcupine.Operation, error) {
	random := rand.New(rand.NewPCG(seed, seed))
	h := &history{begun: time.Now()}
	var group sync.WaitGroup
	var owners []*owner
	for term := range uint64(4) {
		store.SetFaults(emulator.StaleReads(0.2))
		o, err := h.reading(store, term+1)
		if err != nil {
			return nil, err
		}
		owners = append(owners, o)
		ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
		defer cancel()
		o.client.SetFaults(emulator.LoseAnswers(0.3*random.Float64()), emulator.StaleReads(0.3),
			emulator.LateWrites(0.2*random.Float64(), 100*time.Millisecond), emulator.FailReads(0.2))
		h.appends(ctx, &group, o, term+1)
		time.Sleep(400 * time.Millisecond)
	}
	group.Wait()
	for _, o := range owners {
		o.Abort()
	}
	time.Sleep(time.Second) // late writes have come by then
	store.SetFaults()
	last, err := h.reading(store, 5)
	if err != nil {
		return nil, err
	}
	last.Abort()
	return settled(h.operations), nil
}

// settled replaces unknown outcomes by what the last reading shows: the journal
// only grows, so a record that it lacks was never in it, and one that it has was
// appended at some time after its call. That leaves the checker the same histories
// without trying both outcomes of each.
func settled(operations []porcupine.Operation) []porcupine.Operation {
	found := operations[len(operations)-1].Output.(outcome).all
	var known []porcupine.Operation
	for _, op := range operations {
		if o := op.Output.(outcome); errors.Is(o.err, journaler.ErrOutcomeUnknown) {
			if !slices.Contains(found, op.Input.(call).record) {
				continue
			}
			op.Output = outcome{}
		}
		known = append(known, op)
	}
	return known
}

func TestLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			var operations []porcupine.Operation
			var err error
			synctest.Test(t, func(*testing.T) {
				operations, err = record(emulator.NewStore(emulator.WithSeed(seed)), seed)
			})
			if err != nil {
				t.Fatal(err)
			}
			result := porcupine.CheckOperationsTimeout(sequential(), operations, time.Minute)
			if result != porcupine.Ok {
				t.Fatalf("%s: %d operations", result, len(operations))
			}
		})
	}
}
