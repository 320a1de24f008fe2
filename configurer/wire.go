package configurer

import "time"

// revisionWire is a revision. In a history it doesn't hold the document.
type revisionWire struct {
	Revision uint64    `json:"revision"`
	Author   string    `json:"author"`
	Reason   string    `json:"reason"`
	Time     time.Time `json:"time"`
	Text     string    `json:"text,omitempty"` // the document as INI
}

type historyWire struct {
	Revisions []revisionWire `json:"revisions"` // newest first
}

// filesWire holds the declarations in files: the text of each by its name.
type filesWire map[string]string

type planRequest struct {
	Files filesWire `json:"files"`
}

type planWire struct {
	Revision    uint64           `json:"revision"` // that the change is planned on; 0: none yet
	Differences []differenceWire `json:"differences"`
	Effects     []string         `json:"effects"`
}

type differenceWire struct {
	Kind    string `json:"kind"`
	Name    string `json:"name,omitempty"`
	Key     string `json:"key,omitempty"`
	Before  string `json:"before,omitempty"`
	After   string `json:"after,omitempty"`
	Added   bool   `json:"added,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

type applyRequest struct {
	Revision uint64    `json:"revision"` // that the change is planned on; 0 for the first
	Files    filesWire `json:"files"`
	Reason   string    `json:"reason"`
}

type rollbackRequest struct {
	Revision uint64 `json:"revision"` // that must still be in force
	To       uint64 `json:"to"`
	Reason   string `json:"reason"`
}

// stateRequest takes a data centre or a VM out of service, or back into service.
type stateRequest struct {
	Centre string `json:"centre,omitempty"`
	VM     string `json:"vm,omitempty"`
	Lost   bool   `json:"lost,omitempty"` // declares the data centre lost; not for a VM
	Reason string `json:"reason"`
}

type withdrawRequest struct {
	Key    string `json:"key"`
	Reason string `json:"reason"`
}

type grantRequest struct {
	Key      string    `json:"key"`  // id
	Hash     string    `json:"hash"` // SHA-256 of the secret in hexadecimal digits
	Team     string    `json:"team,omitempty"`
	Role     string    `json:"role,omitempty"`
	Expires  time.Time `json:"expires,omitzero"`
	Note     string    `json:"note,omitempty"`
	Replaces string    `json:"replaces,omitempty"` // id of the key that the new one replaces
	Until    time.Time `json:"until,omitzero"`     // when the replaced key expires at the latest
	Reason   string    `json:"reason"`
}

type limitRequest struct {
	Team    string    `json:"team"`
	Key     string    `json:"key"`             // limit or slots
	Value   string    `json:"value,omitempty"` // empty: the exception is removed
	Expires time.Time `json:"expires,omitzero"`
	Reason  string    `json:"reason"`
}

// holdingWire is the revision in force on one entry VM.
type holdingWire struct {
	VM       string `json:"vm"`
	Revision uint64 `json:"revision"`
	Error    string `json:"error,omitempty"` // why the entry VM wasn't reached
}

// changeWire is the response to each accepted change.
type changeWire struct {
	Revision   uint64        `json:"revision"`
	Everywhere bool          `json:"everywhere"` // in force on all known entry VMs
	Force      []holdingWire `json:"force"`
}

// forceWire lists the revisions in force. Revision is that on the responding entry VM.
type forceWire struct {
	Revision uint64        `json:"revision"`
	Force    []holdingWire `json:"force"`
}

type keysWire struct {
	Complete bool      `json:"complete"` // all entry VMs reported their uses
	Keys     []keyWire `json:"keys"`     // by id
}

type keyWire struct {
	Key       string    `json:"key"` // id
	Team      string    `json:"team,omitempty"`
	Role      string    `json:"role,omitempty"`
	Active    bool      `json:"active"`
	Withdrawn bool      `json:"withdrawn,omitempty"`
	Expires   time.Time `json:"expires,omitzero"`
	Used      time.Time `json:"used,omitzero"` // last accepted by an entry VM since that started; zero: never
	Note      string    `json:"note,omitempty"`
}

func newRevisionWire(r *Revision) revisionWire {
	return revisionWire{Revision: r.number, Author: r.author, Reason: r.reason, Time: r.time, Text: string(r.document.Text())}
}

func newPlanWire(p Plan) planWire {
	wire := planWire{Revision: p.revision, Differences: []differenceWire{}, Effects: append([]string{}, p.effects...)}
	for _, d := range p.differences {
		wire.Differences = append(wire.Differences, newDifferenceWire(d))
	}
	return wire
}

func newDifferenceWire(d Difference) differenceWire {
	return differenceWire{
		Kind: d.kind, Name: d.name, Key: d.key, Before: d.before, After: d.after, Added: d.added, Removed: d.removed,
	}
}

func (w planWire) plan() Plan {
	p := Plan{revision: w.Revision, effects: w.Effects}
	for _, d := range w.Differences {
		p.differences = append(p.differences, Difference{
			kind: d.Kind, name: d.Name, key: d.Key, before: d.Before, after: d.After, added: d.Added, removed: d.Removed,
		})
	}
	return p
}

func newHoldingWires(revisions []VMRevision) []holdingWire {
	wires := make([]holdingWire, len(revisions))
	for i, r := range revisions {
		wires[i] = holdingWire{VM: r.vm, Revision: r.revision}
		if r.err != nil {
			wires[i].Error = r.err.Error()
		}
	}
	return wires
}
