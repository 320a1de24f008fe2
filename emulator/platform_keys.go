package emulator

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"filberthaven.example/keeper"
	"github.com/go-chi/chi/v5"
)

// bodyLimit is the largest request in bytes: a value in base64 and some more.
const bodyLimit = 2 * keeper.ValueLimit

// clientHeader names the client whose view a call gets.
const clientHeader = "Filberthaven-Client"

// entryMessage is an entry as it travels.
type entryMessage struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// listMessage answers a list or a watch.
type listMessage struct {
	Entries []entryMessage `json:"entries"`
	Next    uint64         `json:"next,omitempty"`
}

// putMessage asks for a write.
type putMessage struct {
	Value  []byte         `json:"value"`
	Expect uint64         `json:"expect"`
	Lease  keeper.LeaseID `json:"lease,omitempty"`
}

// versionMessage answers a write.
type versionMessage struct {
	Version uint64 `json:"version"`
}

// leaseMessage asks for a lease, or answers with one.
type leaseMessage struct {
	ID  keeper.LeaseID `json:"id,omitempty"`
	TTL int64          `json:"ttl,omitempty"` // milliseconds
}

// errorMessage is the body of an answer that is no success.
type errorMessage struct {
	Error string `json:"error"`
}

// refusal is how an error travels.
type refusal struct {
	err    error
	name   string
	status int
}

// refusals are the errors that a client can tell apart.
var refusals = []refusal{
	{keeper.ErrNotFound, "notfound", http.StatusNotFound},
	{keeper.ErrConflict, "conflict", http.StatusConflict},
	{keeper.ErrUnavailable, "unavailable", http.StatusServiceUnavailable},
	{keeper.ErrTooLarge, "toolarge", http.StatusRequestEntityTooLarge},
	{keeper.ErrLeaseExpired, "expired", http.StatusGone},
}

// seam returns the service as the caller sees it.
func (p *Platform) seam(r *http.Request) keeper.Store {
	return p.store.Client(r.Header.Get(clientHeader)).KV()
}

func (p *Platform) getKey(w http.ResponseWriter, r *http.Request) {
	entry, err := p.seam(r).Get(r.Context(), r.URL.Query().Get("key"))
	answer(w, newEntryMessage(entry), err)
}

func (p *Platform) putKey(w http.ResponseWriter, r *http.Request) {
	var message putMessage
	if !decode(w, r, &message) {
		return
	}
	version, err := p.seam(r).Put(r.Context(), r.URL.Query().Get("key"), message.Value, message.Expect, message.Lease)
	answer(w, versionMessage{version}, err)
}

func (p *Platform) deleteKey(w http.ResponseWriter, r *http.Request) {
	expect, err := strconv.ParseUint(r.URL.Query().Get("expect"), 10, 64)
	if err != nil {
		http.Error(w, "expect is no version", http.StatusBadRequest)
		return
	}
	answer(w, struct{}{}, p.seam(r).Delete(r.Context(), r.URL.Query().Get("key"), expect))
}

func (p *Platform) listKeys(w http.ResponseWriter, r *http.Request) {
	entries, err := p.seam(r).List(r.Context(), r.URL.Query().Get("prefix"))
	answer(w, newListMessage(entries, 0), err)
}

func (p *Platform) watchKeys(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is no version", http.StatusBadRequest)
		return
	}
	entries, next, err := p.seam(r).Watch(r.Context(), r.URL.Query().Get("prefix"), after)
	answer(w, newListMessage(entries, next), err)
}

func (p *Platform) grantLease(w http.ResponseWriter, r *http.Request) {
	var message leaseMessage
	if !decode(w, r, &message) {
		return
	}
	id, err := p.seam(r).Grant(r.Context(), time.Duration(message.TTL)*time.Millisecond)
	answer(w, leaseMessage{ID: id}, err)
}

func (p *Platform) renewLease(w http.ResponseWriter, r *http.Request) {
	if id, ok := leaseID(w, r); ok {
		answer(w, struct{}{}, p.seam(r).Renew(r.Context(), id))
	}
}

func (p *Platform) revokeLease(w http.ResponseWriter, r *http.Request) {
	if id, ok := leaseID(w, r); ok {
		answer(w, struct{}{}, p.seam(r).Revoke(r.Context(), id))
	}
}

// leaseID reads the lease of a path.
func leaseID(w http.ResponseWriter, r *http.Request) (keeper.LeaseID, bool) {
	id, err := strconv.ParseUint(chi.URLParam(r, "id"), 10, 64)
	if err != nil {
		http.Error(w, "no lease", http.StatusBadRequest)
	}
	return keeper.LeaseID(id), err == nil
}

// newEntryMessage returns the entry as it travels.
func newEntryMessage(e keeper.Entry) entryMessage {
	return entryMessage{Key: e.Key(), Value: e.Value(), Version: e.Version(), Deleted: e.Deleted()}
}

// newListMessage returns the entries as they travel.
func newListMessage(entries []keeper.Entry, next uint64) listMessage {
	message := listMessage{Next: next}
	for _, e := range entries {
		message.Entries = append(message.Entries, newEntryMessage(e))
	}
	return message
}

// decode reads a request's body.
func decode(w http.ResponseWriter, r *http.Request, message any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit)).Decode(message)
	if err != nil {
		http.Error(w, "body is no such message: "+err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// answer writes the message or the error. An unknown outcome travels as a broken
// connection, which is how it comes about.
func answer(w http.ResponseWriter, message any, err error) {
	if errors.Is(err, keeper.ErrOutcomeUnknown) {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if err != nil {
		status, message = refused(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(message)
}

// refused returns the status and the message of an error.
func refused(err error) (int, errorMessage) {
	for _, r := range refusals {
		if errors.Is(err, r.err) {
			return r.status, errorMessage{r.name}
		}
	}
	return http.StatusInternalServerError, errorMessage{"internal"}
}
