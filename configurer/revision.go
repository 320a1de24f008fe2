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

// Revision is an accepted document. It is immutable.
type Revision struct {
	number   uint64    // from 1, one more with each change
	author   string    // name of the caller that made the change
	reason   string    // why the change was made
	time     time.Time // of the change, by the clock of the entry VM that wrote it
	id       string    // unique to the write; shows whether it took effect if its response is lost
	document *Document // never nil
	data     []byte    // as stored; must not be modified
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

// Data returns the revision as stored. It must not be modified.
func (r *Revision) Data() []byte { return r.data }

// revisionRecord is the stored form of a revision. It is stored as CBOR, preceded by a
// checksum.
type revisionRecord struct {
	Revision uint64    `cbor:"revision"`
	Author   string    `cbor:"author"`
	Reason   string    `cbor:"reason"`
	Time     time.Time `cbor:"time"`
	ID       string    `cbor:"id"`
	Text     []byte    `cbor:"text"` // the document as INI, compressed with gzip
}

// checksumSize is the size in bytes of the checksum, an xxHash64.
const checksumSize = 8

// Reasons for refusing a stored revision.
var (
	// ErrCorrupt means that the checksum of the stored revision is wrong.
	ErrCorrupt  = errors.New("revision is damaged")
	errNoNumber = errors.New("revision has no number")
)

// encode sets data to the stored form of the revision.
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

// encode returns the checksum and the record as CBOR.
func (r revisionRecord) encode() ([]byte, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return nil, oops.In("configurer").Wrapf(err, "revision %d can't be encoded", r.Revision)
	}
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(body)), body...), nil
}

// decodeRecord decodes a stored revision without decoding its document.
func decodeRecord(data []byte) (record revisionRecord, err error) {
	if len(data) < checksumSize || binary.BigEndian.Uint64(data) != xxhash.Sum64(data[checksumSize:]) {
		return record, oops.In("configurer").Wrap(ErrCorrupt)
	}
	if err := cbor.Unmarshal(data[checksumSize:], &record); err != nil {
		return record, oops.In("configurer").Wrapf(err, "revision can't be decoded")
	}
	if record.Revision == 0 {
		return record, oops.In("configurer").Wrap(errNoNumber)
	}
	return record, nil
}

// revision decodes the document and returns the revision. data is the stored form that
// the record was decoded from.
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

// DecodeRevision decodes a stored revision. Sections and keys that only a newer version of
// the program knows are left out.
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

// decompress returns the text, cut off one byte after loader.FileLimit. The loader refuses
// a text of that size.
func decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, loader.FileLimit+1))
}
