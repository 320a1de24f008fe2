package scheduler

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"filberthaven.example/placer"
	"github.com/fxamacker/cbor/v2"
)

// recordVersion is the format version of the records that this program writes and reads.
const recordVersion = 1

// recordKind is the kind of change that a record describes.
type recordKind uint8

const (
	recordAccept recordKind = iota + 1 // a job, with the state of its tasks
	recordStart                        // the start of a run of a task
	recordEnd                          // the end of a run
	recordCancel                       // the job is cancelled: none of its tasks starts again
	recordExpire                       // the deadline passed before a start
	recordMoving                       // the job is being moved to another shard
	recordMoved                        // the other shard has accepted the job
	recordClaim                        // a claim on an urgent request, with its present state
	recordSettle                       // never written; read like recordClaim
	recordClose                        // the owner stopped after all its records were persisted
	recordProof                        // changes nothing; its write proves the ownership
	recordBegun                        // a worker has confirmed a run of a job of which none had begun
)

// record is one change of a shard's state. The journal may replay a record twice or
// late; where that matters, Attempt or Hop shows that the record is outdated.
type record struct {
	Version     uint8        `cbor:"0,keyasint"`
	Kind        recordKind   `cbor:"1,keyasint"`
	Job         string       `cbor:"2,keyasint,omitempty"`
	Index       int          `cbor:"3,keyasint,omitempty"`
	Attempt     uint32       `cbor:"4,keyasint,omitempty"` // number of the run; revision of a claim
	Worker      string       `cbor:"5,keyasint,omitempty"`
	Incarnation string       `cbor:"6,keyasint,omitempty"`
	Result      result       `cbor:"7,keyasint,omitempty"` // of a run; Outcome of a claim; resultDone of a job that has moved
	At          int64        `cbor:"8,keyasint,omitempty"` // milliseconds since 1970
	Spec        *specRecord  `cbor:"9,keyasint,omitempty"`
	Team        string       `cbor:"10,keyasint,omitempty"`
	Request     string       `cbor:"11,keyasint,omitempty"`
	Digest      uint64       `cbor:"12,keyasint,omitempty"`
	Holder      string       `cbor:"13,keyasint,omitempty"`
	Target      string       `cbor:"14,keyasint,omitempty"`
	Hop         uint32       `cbor:"15,keyasint,omitempty"` // number of moves of the job between shards
	Tasks       []taskRecord `cbor:"16,keyasint,omitempty"`
	Cancelled   bool         `cbor:"17,keyasint,omitempty"`
	Expired     bool         `cbor:"18,keyasint,omitempty"`
	Term        uint64       `cbor:"19,keyasint,omitempty"`
	Begun       bool         `cbor:"20,keyasint,omitempty"` // job.hasBegun, of an accept record

	// Losses is the number of consecutive runs of the task that were lost with their workers,
	// as of an end record. TaskLosses holds those above 0 by index, of an accept record.
	Losses     uint8         `cbor:"21,keyasint,omitempty"`
	TaskLosses map[int]uint8 `cbor:"22,keyasint,omitempty"`
}

// taskRecord is the state of a task in an accept record. It is encoded as an array.
type taskRecord struct {
	_           struct{} `cbor:",toarray"`
	Index       int
	Attempt     uint32
	Running     bool
	Result      result
	Worker      string
	Incarnation string
}

// specRecord is a placer.JobSpec as encoded in records and messages.
type specRecord struct {
	ID         string        `cbor:"1,keyasint"`
	Team       string        `cbor:"2,keyasint"`
	Name       string        `cbor:"3,keyasint,omitempty"`
	Queue      string        `cbor:"4,keyasint"`
	Class      placer.Class  `cbor:"5,keyasint"`
	Tasks      int           `cbor:"6,keyasint"`
	Size       [3]int64      `cbor:"7,keyasint"`
	Estimate   time.Duration `cbor:"8,keyasint,omitempty"`
	Deadline   int64         `cbor:"9,keyasint,omitempty"`  // milliseconds since 1970
	Submitted  int64         `cbor:"10,keyasint,omitempty"` // milliseconds since 1970
	Gang       bool          `cbor:"11,keyasint,omitempty"`
	Idempotent bool          `cbor:"12,keyasint,omitempty"`
	Rack       string        `cbor:"13,keyasint,omitempty"`
	Spread     bool          `cbor:"14,keyasint,omitempty"`
}

func newSpecRecord(spec placer.JobSpec) *specRecord {
	size := spec.Size()
	return &specRecord{
		ID:         spec.ID(),
		Team:       spec.Team(),
		Name:       spec.Name(),
		Queue:      spec.Queue(),
		Class:      spec.Class(),
		Tasks:      spec.Tasks(),
		Size:       [3]int64{size.CPU(), size.Memory(), size.Accelerators()},
		Estimate:   spec.Estimate(),
		Deadline:   millis(spec.Deadline()),
		Submitted:  millis(spec.SubmittedAt()),
		Gang:       spec.Gang(),
		Idempotent: spec.Idempotent(),
		Rack:       spec.Constraints().Rack(),
		Spread:     spec.Constraints().Spread(),
	}
}

func (r *specRecord) spec() placer.JobSpec {
	options := []placer.JobOption{
		placer.WithName(r.Name),
		placer.WithQueue(r.Queue),
		placer.WithClass(r.Class),
		placer.WithTasks(r.Tasks),
		placer.WithEstimate(r.Estimate),
		placer.WithDeadline(timeOf(r.Deadline)),
		placer.WithSubmittedAt(timeOf(r.Submitted)),
		placer.WithConstraints(placer.NewConstraints(r.Rack, r.Spread)),
	}
	if r.Gang {
		options = append(options, placer.WithGang())
	}
	if !r.Idempotent {
		options = append(options, placer.WithNonIdempotent())
	}
	return placer.NewJobSpec(r.ID, r.Team, placer.NewResources(r.Size[0], r.Size[1], r.Size[2]), options...)
}

// encode returns the record in CBOR, under the current version.
func (r record) encode() ([]byte, error) {
	r.Version = recordVersion
	return cbor.Marshal(r)
}

// decodeRecords calls f with each record of an encoded sequence. It returns
// ErrBadRecord at the first that can't be decoded or has another version.
func decodeRecords(data []byte, f func(record)) error {
	decoder := cbor.NewDecoder(bytes.NewReader(data))
	for {
		var r record
		err := decoder.Decode(&r)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("%w at byte %d: %w", ErrBadRecord, decoder.NumBytesRead(), err)
		case r.Version != recordVersion:
			return fmt.Errorf("%w at byte %d: version %d, this program reads %d", ErrBadRecord, decoder.NumBytesRead(), r.Version, recordVersion)
		}
		f(r)
	}
}

func millis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func timeOf(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
