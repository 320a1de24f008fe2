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

// maxBodyBytes is the largest request body. It holds the largest value in base64, with
// room to spare for the other fields.
const maxBodyBytes = 2 * keeper.ValueLimit

// clientHeader is the header that names the client whose faults and counts apply to a
// call.
const clientHeader = "Filberthaven-Client"

// entryMessage is the wire form of an entry.
type entryMessage struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// listMessage is the response to a list or a watch.
type listMessage struct {
	Entries []entryMessage `json:"entries"`
	Next    uint64         `json:"next,omitempty"` // version from which the next watch continues; 0 for a list
}

// putMessage is the request of a write.
type putMessage struct {
	Value  []byte         `json:"value"`
	Expect uint64         `json:"expect"`
	Lease  keeper.LeaseID `json:"lease,omitempty"`
}

// versionMessage is the response to a write.
type versionMessage struct {
	Version uint64 `json:"version"`
}

// leaseMessage is the request for a lease and the response to it.
type leaseMessage struct {
	ID  keeper.LeaseID `json:"id,omitempty"`
	TTL int64          `json:"ttl,omitempty"` // milliseconds
}

// errorMessage is the body of an error response.
type errorMessage struct {
	Error string `json:"error"`
}

// wireError maps an error to its name and HTTP status on the wire.
type wireError struct {
	err    error
	name   string
	status int
}

// wireErrors are the errors that a client can distinguish.
var wireErrors = []wireError{
	{keeper.ErrNotFound, "notfound", http.StatusNotFound},
	{keeper.ErrConflict, "conflict", http.StatusConflict},
	{keeper.ErrUnavailable, "unavailable", http.StatusServiceUnavailable},
	{keeper.ErrTooLarge, "toolarge", http.StatusRequestEntityTooLarge},
	{keeper.ErrLeaseExpired, "expired", http.StatusGone},
}

// clientStore returns the store as the client that the request names sees it.
func (p *Platform) clientStore(r *http.Request) keeper.Store {
	return p.store.Client(r.Header.Get(clientHeader)).KV()
}

func (p *Platform) getKey(w http.ResponseWriter, r *http.Request) {
	entry, err := p.clientStore(r).Get(r.Context(), r.URL.Query().Get("key"))
	writeResponse(w, newEntryMessage(entry), err)
}

func (p *Platform) putKey(w http.ResponseWriter, r *http.Request) {
	var message putMessage
	if !decodeBody(w, r, &message) {
		return
	}
	version, err := p.clientStore(r).Put(r.Context(), r.URL.Query().Get("key"), message.Value, message.Expect, message.Lease)
	writeResponse(w, versionMessage{version}, err)
}

func (p *Platform) deleteKey(w http.ResponseWriter, r *http.Request) {
	expect, err := strconv.ParseUint(r.URL.Query().Get("expect"), 10, 64)
	if err != nil {
		http.Error(w, "expect is no version", http.StatusBadRequest)
		return
	}
	writeResponse(w, struct{}{}, p.clientStore(r).Delete(r.Context(), r.URL.Query().Get("key"), expect))
}

func (p *Platform) listKeys(w http.ResponseWriter, r *http.Request) {
	entries, err := p.clientStore(r).List(r.Context(), r.URL.Query().Get("prefix"))
	writeResponse(w, newListMessage(entries, 0), err)
}

func (p *Platform) watchKeys(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is no version", http.StatusBadRequest)
		return
	}
	entries, next, err := p.clientStore(r).Watch(r.Context(), r.URL.Query().Get("prefix"), after)
	writeResponse(w, newListMessage(entries, next), err)
}

func (p *Platform) grantLease(w http.ResponseWriter, r *http.Request) {
	var message leaseMessage
	if !decodeBody(w, r, &message) {
		return
	}
	id, err := p.clientStore(r).Grant(r.Context(), time.Duration(message.TTL)*time.Millisecond)
	writeResponse(w, leaseMessage{ID: id}, err)
}

func (p *Platform) renewLease(w http.ResponseWriter, r *http.Request) {
	if id, ok := leaseID(w, r); ok {
		writeResponse(w, struct{}{}, p.clientStore(r).Renew(r.Context(), id))
	}
}

func (p *Platform) revokeLease(w http.ResponseWriter, r *http.Request) {
	if id, ok := leaseID(w, r); ok {
		writeResponse(w, struct{}{}, p.clientStore(r).Revoke(r.Context(), id))
	}
}

// leaseID returns the lease id in the path, or responds with an error and returns false.
func leaseID(w http.ResponseWriter, r *http.Request) (keeper.LeaseID, bool) {
	id, err := strconv.ParseUint(chi.URLParam(r, "id"), 10, 64)
	if err != nil {
		http.Error(w, "no lease", http.StatusBadRequest)
	}
	return keeper.LeaseID(id), err == nil
}

// newEntryMessage returns the wire form of an entry.
func newEntryMessage(e keeper.Entry) entryMessage {
	return entryMessage{Key: e.Key(), Value: e.Value(), Version: e.Version(), Deleted: e.Deleted()}
}

// newListMessage returns the wire form of the entries.
func newListMessage(entries []keeper.Entry, next uint64) listMessage {
	message := listMessage{Next: next}
	for _, e := range entries {
		message.Entries = append(message.Entries, newEntryMessage(e))
	}
	return message
}

// decodeBody decodes the body of a request into message, or responds with an error and
// returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, message any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(message)
	if err != nil {
		http.Error(w, "body is no such message: "+err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// writeResponse writes the message, or the error if there is one. For
// keeper.ErrOutcomeUnknown it aborts the connection, so that the client doesn't learn the
// outcome either.
func writeResponse(w http.ResponseWriter, message any, err error) {
	if errors.Is(err, keeper.ErrOutcomeUnknown) {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if err != nil {
		status, message = errorResponse(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(message)
}

// errorResponse returns the status and the body for an error.
func errorResponse(err error) (int, errorMessage) {
	for _, r := range wireErrors {
		if errors.Is(err, r.err) {
			return r.status, errorMessage{r.name}
		}
	}
	return http.StatusInternalServerError, errorMessage{"internal"}
}
