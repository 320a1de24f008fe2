package configurer

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"errors"
	"io"
	"time"

	"filberthaven.example/loader"
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"
)

// Revision is a document as accepted.
type Revision struct {
	number   uint64    // from 1, rises by one with each change
	author   string    // who changed it
	reason   string    // why
	time     time.Time // when, by the clock of the entry VM that wrote it
	id       string    // of the write; tells a lost answer's outcome
	document *Document // never nil
	data     []byte    // as stored; not to be changed
}

// Number returns the number of the revision, from 1.
func (r *Revision) Number() uint64 { return r.number }

// Author returns who changed the document.
func (r *Revision) Author() string { return r.author }

// Reason returns why the document was changed.
func (r *Revision) Reason() string { return r.reason }

// Time returns when the document was changed.
func (r *Revision) Time() time.Time { return r.time }

// Document returns the document.
func (r *Revision) Document() *Document { return r.document }

// Data returns the revision as stored, not to be changed.
func (r *Revision) Data() []byte { return r.data }

// revisionRecord is a revision as stored: CBOR after its checksum.
type revisionRecord struct {
	Revision uint64    `cbor:"revision"`
	Author   string    `cbor:"author"`
	Reason   string    `cbor:"reason"`
	Time     time.Time `cbor:"time"`
	ID       string    `cbor:"id"`
	Text     []byte    `cbor:"text"` // the document as INI, by gzip
}

// sumSize is the size of the checksum in bytes.
const sumSize = 8

// Reasons why a stored revision is refused.
var (
	// ErrCorrupt means that the checksum is wrong.
	ErrCorrupt  = errors.New("revision is damaged")
	errNoNumber = errors.New("revision has no number")
)

// encode sets the stored form.
func (r *Revision) encode() error {
	text, err := compress(r.document.Text())
	if err != nil {
		return oops.In("configurer").Wrapf(err, "revision %d can't be compressed", r.number)
	}
	r.data, err = revisionRecord{
		Revision: r.number, Author: r.author, Reason: r.reason, Time: r.time.UTC(), ID: r.id, Text: text,
	}.encode()
	return err
}

// encode returns the record after its checksum.
func (r revisionRecord) encode() ([]byte, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return nil, oops.In("configurer").Wrapf(err, "revision %d can't be encoded", r.Revision)
	}
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(body)), body...), nil
}

// decodeRecord reads a revision as stored, without its document.
func decodeRecord(data []byte) (record revisionRecord, err error) {
	if len(data) < sumSize || binary.BigEndian.Uint64(data) != xxhash.Sum64(data[sumSize:]) {
		return record, oops.In("configurer").Wrap(ErrCorrupt)
	}
	if err := cbor.Unmarshal(data[sumSize:], &record); err != nil {
		return record, oops.In("configurer").Wrapf(err, "revision can't be decoded")
	}
	if record.Revision == 0 {
		return record, oops.In("configurer").Wrap(errNoNumber)
	}
	return record, nil
}

// revision decodes the document of a record, which was read from data.
func (r revisionRecord) revision(data []byte) (*Revision, error) {
	text, err := decompress(r.Text)
	if err != nil {
		return nil, oops.In("configurer").Wrapf(err, "revision %d can't be decompressed", r.Revision)
	}
	document, err := parseAccepted(text)
	if err != nil {
		return nil, oops.In("configurer").Wrapf(err, "revision %d can't be decoded", r.Revision)
	}
	return &Revision{
		number: r.Revision, author: r.Author, reason: r.Reason, time: r.Time,
		id: r.ID, document: document, data: data,
	}, nil
}

// summary returns the revision without its document.
func (r revisionRecord) summary() Summary {
	return Summary{number: r.Revision, author: r.Author, reason: r.Reason, time: r.Time}
}

// DecodeRevision reads a revision as stored. Keys that a newer version of the
// program wrote are passed over.
func DecodeRevision(data []byte) (*Revision, error) {
	record, err := decodeRecord(data)
	if err != nil {
		return nil, err
	}
	return record.revision(data)
}

func compress(text []byte) ([]byte, error) {
	var buffer bytes.Buffer
	w := gzip.NewWriter(&buffer)
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// decompress returns the text, up to loader.FileLimit and a byte, which the loader refuses.
func decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, loader.FileLimit+1))
}
