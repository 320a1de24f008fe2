package configurer

import "time"

// Summary describes a revision. In a history it doesn't hold the document.
type Summary struct {
	number         uint64
	author, reason string
	time           time.Time
	text           string // the document as INI; empty in a history
}

// Number returns the number of the revision.
func (s Summary) Number() uint64 { return s.number }

// Author returns who changed the document.
func (s Summary) Author() string { return s.author }

// Reason returns why the document was changed.
func (s Summary) Reason() string { return s.reason }

// Time returns when the document was changed.
func (s Summary) Time() time.Time { return s.time }

// Text returns the document as INI; empty in a history.
func (s Summary) Text() string { return s.text }

func (w revisionWire) summary() Summary {
	return Summary{number: w.Revision, author: w.Author, reason: w.Reason, time: w.Time, text: w.Text}
}

func (s Summary) wire() revisionWire {
	return revisionWire{Revision: s.number, Author: s.author, Reason: s.reason, Time: s.time, Text: s.text}
}
