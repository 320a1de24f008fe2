package configurer

import (
	"encoding/json"
	"time"

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

// revisionRecord is a revision as stored.
type revisionRecord struct {
	Revision uint64    `json:"revision"`
	Author   string    `json:"author"`
	Reason   string    `json:"reason"`
	Time     time.Time `json:"time"`
	ID       string    `json:"id"`
	Text     string    `json:"text"` // the document as INI
}

// encode sets the stored form.
func (r *Revision) encode() error {
	data, err := json.Marshal(revisionRecord{
		Revision: r.number, Author: r.author, Reason: r.reason, Time: r.time.UTC(), ID: r.id, Text: string(r.document.Text()),
	})
	if err != nil {
		return oops.In("configurer").Wrapf(err, "revision %d can't be encoded", r.number)
	}
	r.data = data
	return nil
}

// DecodeRevision reads a revision as stored. Keys that a newer version of the
// program wrote are passed over.
func DecodeRevision(data []byte) (*Revision, error) {
	var record revisionRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return nil, oops.In("configurer").Wrapf(err, "revision can't be decoded")
	}
	if record.Revision == 0 {
		return nil, oops.In("configurer").Errorf("revision has no number")
	}
	document, err := parseAccepted([]byte(record.Text))
	if err != nil {
		return nil, oops.In("configurer").Wrapf(err, "revision %d can't be decoded", record.Revision)
	}
	return &Revision{
		number: record.Revision, author: record.Author, reason: record.Reason, time: record.Time,
		id: record.ID, document: document, data: data,
	}, nil
}
