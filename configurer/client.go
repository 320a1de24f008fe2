package configurer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"filberthaven.example/loader"
	"github.com/samber/oops"
)

// ErrUnreachable means that the entry VM sent no response of the operators' API.
var ErrUnreachable = errors.New("entry VM can't be reached")

// responseLimit is the largest response body in bytes.
const responseLimit = 16 << 20

// Client calls the operators' API.
type Client struct {
	baseURL string // URL of the operators' API, without a trailing slash
	key     string // secret of the caller's key, sent with each call
	http    *http.Client
}

// NewClient returns a client of the entry VM or load balancer at the URL, which
// authenticates with the key.
func NewClient(url, key string, client *http.Client) *Client {
	return &Client{baseURL: strings.TrimSuffix(url, "/") + BasePath, key: key, http: client}
}

// ChangeResult is an accepted change.
type ChangeResult struct {
	revision    uint64
	everywhere  bool // in force on all known entry VMs
	vmRevisions []VMRevision
}

// Revision returns the number of the new revision.
func (a ChangeResult) Revision() uint64 { return a.revision }

// Everywhere reports whether the change is in force on all entry VMs that the called
// one knows.
func (a ChangeResult) Everywhere() bool { return a.everywhere }

// VMRevisions returns the revision in force on each entry VM, by id.
func (a ChangeResult) VMRevisions() []VMRevision { return a.vmRevisions }

// Document returns the newest revision with its document.
func (c *Client) Document(ctx context.Context) (Summary, error) {
	var wire revisionWire
	err := c.get(ctx, "/document", &wire)
	return wire.summary(), err
}

// Revision returns a revision with its document.
func (c *Client) Revision(ctx context.Context, number uint64) (Summary, error) {
	var wire revisionWire
	err := c.get(ctx, "/history/"+strconv.FormatUint(number, 10), &wire)
	return wire.summary(), err
}

// History returns the revisions in the history, newest first, without their documents.
func (c *Client) History(ctx context.Context) ([]Summary, error) {
	var wire historyWire
	if err := c.get(ctx, "/history", &wire); err != nil {
		return nil, err
	}
	summaries := make([]Summary, len(wire.Revisions))
	for i, revision := range wire.Revisions {
		summaries[i] = revision.summary()
	}
	return summaries, nil
}

// VMRevisions returns the revision in force on each entry VM, by id.
func (c *Client) VMRevisions(ctx context.Context) ([]VMRevision, error) {
	var wire forceWire
	err := c.get(ctx, "/force", &wire)
	return newVMRevisions(wire.Force), err
}

// KeyUse is a declared key with its last use.
type KeyUse struct {
	wire keyWire
}

// ID returns the public id of the key.
func (k KeyUse) ID() string { return k.wire.Key }

// Holder returns whose key it is, such as "team cremona".
func (k KeyUse) Holder() string { return Key{team: k.wire.Team, role: Role(k.wire.Role)}.holder() }

// Active reports whether the key was valid at the time of the response.
func (k KeyUse) Active() bool { return k.wire.Active }

// Withdrawn reports whether an operator withdrew the key.
func (k KeyUse) Withdrawn() bool { return k.wire.Withdrawn }

// Expires returns when the key expires, or zero if it doesn't.
func (k KeyUse) Expires() time.Time { return k.wire.Expires }

// Used returns when an entry VM last accepted the key, or zero if none has since it
// started.
func (k KeyUse) Used() time.Time { return k.wire.Used }

// Note returns who holds the key, or why it was withdrawn.
func (k KeyUse) Note() string { return k.wire.Note }

// MarshalJSON returns the key as in a response of the operators' API.
func (k KeyUse) MarshalJSON() ([]byte, error) { return json.Marshal(k.wire) }

// Keys returns all keys by id, and whether all entry VMs reported their uses.
func (c *Client) Keys(ctx context.Context) (keys []KeyUse, complete bool, err error) {
	var wire keysWire
	if err := c.get(ctx, "/keys", &wire); err != nil {
		return nil, false, err
	}
	for _, key := range wire.Keys {
		keys = append(keys, KeyUse{wire: key})
	}
	return keys, wire.Complete, nil
}

// Plan returns what applying the files would change.
func (c *Client) Plan(ctx context.Context, files []loader.File) (Plan, error) {
	var wire planWire
	err := c.call(ctx, http.MethodPost, "/plan", planRequest{Files: newFilesWire(files)}, &wire)
	return wire.plan(), err
}

// Apply replaces the declarations by those in the files if planned is still the number of
// the revision in force.
func (c *Client) Apply(ctx context.Context, planned uint64, files []loader.File, reason string) (ChangeResult, error) {
	return c.change(ctx, "/apply", applyRequest{Revision: planned, Files: newFilesWire(files), Reason: reason})
}

// Rollback brings the document of the former revision with that number into force again, if
// planned is still the number of the revision in force.
func (c *Client) Rollback(ctx context.Context, planned, number uint64, reason string) (ChangeResult, error) {
	return c.change(ctx, "/rollback", rollbackRequest{Revision: planned, To: number, Reason: reason})
}

// Target is a data centre or a VM to take out of service or back.
type Target struct{ centre, vm string }

// CentreTarget returns the target that is the data centre of that name.
func CentreTarget(name string) Target { return Target{centre: name} }

// VMTarget returns the target that is the VM of that id.
func VMTarget(id string) Target { return Target{vm: id} }

// Drain takes a data centre or VM out of service, or declares a data centre lost.
func (c *Client) Drain(ctx context.Context, target Target, lost bool, reason string) (ChangeResult, error) {
	return c.change(ctx, "/drain", stateRequest{Centre: target.centre, VM: target.vm, Lost: lost, Reason: reason})
}

// Return takes a data centre or VM back into service.
func (c *Client) Return(ctx context.Context, target Target, reason string) (ChangeResult, error) {
	return c.change(ctx, "/return", stateRequest{Centre: target.centre, VM: target.vm, Reason: reason})
}

// Withdraw withdraws a key for good.
func (c *Client) Withdraw(ctx context.Context, id, reason string) (ChangeResult, error) {
	return c.change(ctx, "/withdraw", withdrawRequest{Key: id, Reason: reason})
}

// Grant declares a key. replaces is the id of the key that it replaces, which then expires
// no later than until; it may be empty.
func (c *Client) Grant(ctx context.Context, key Key, replaces string, until time.Time, reason string) (ChangeResult, error) {
	return c.change(ctx, "/grant", grantRequest{
		Key: key.id, Hash: key.hash, Team: key.team, Role: string(key.role),
		Expires: key.expires, Note: key.note, Replaces: replaces, Until: until, Reason: reason,
	})
}

// NewKey returns a key to grant to a team or a role. The hash is the SHA-256 of its
// secret in hexadecimal digits.
func NewKey(id string, hash string, team string, role Role, expires time.Time, note string) Key {
	return Key{id: id, hash: hash, team: team, role: role, expires: expires, note: note}
}

// Limit sets an exception for the key limit or slots of a team. An empty value removes it.
func (c *Client) Limit(ctx context.Context, team, key, value string, expires time.Time, reason string) (ChangeResult, error) {
	return c.change(ctx, "/limit", limitRequest{Team: team, Key: key, Value: value, Expires: expires, Reason: reason})
}

func (c *Client) change(ctx context.Context, path string, request any) (ChangeResult, error) {
	var wire changeWire
	err := c.call(ctx, http.MethodPost, path, request, &wire)
	return ChangeResult{revision: wire.Revision, everywhere: wire.Everywhere, vmRevisions: newVMRevisions(wire.Force)}, err
}

func newVMRevisions(wires []holdingWire) []VMRevision {
	revisions := make([]VMRevision, len(wires))
	for i, wire := range wires {
		revisions[i] = VMRevision{vm: wire.VM, revision: wire.Revision}
		if wire.Error != "" {
			revisions[i].err = errors.New(wire.Error)
		}
	}
	return revisions
}

func newFilesWire(files []loader.File) filesWire {
	wire := filesWire{}
	for _, file := range files {
		wire[file.Name()] = string(file.Text())
	}
	return wire
}

func (c *Client) get(ctx context.Context, path string, result any) error {
	return c.call(ctx, http.MethodGet, path, nil, result)
}

// call sends the request and decodes the response into result, or returns the problem
// that the API responded with.
func (c *Client) call(ctx context.Context, method, path string, request, result any) error {
	body, err := encodeBody(request)
	if err != nil {
		return err
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return oops.In("configurer").Wrapf(err, "request to %s", c.baseURL+path)
	}
	httpRequest.Header.Set("Authorization", "Bearer "+c.key)
	httpRequest.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, responseLimit))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if response.StatusCode != http.StatusOK {
		return decodeProblem(response, data)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return oops.In("configurer").Wrapf(err, "answer of %s", path)
	}
	return nil
}

func encodeBody(request any) (io.Reader, error) {
	if request == nil {
		return http.NoBody, nil
	}
	data, err := json.Marshal(request)
	return bytes.NewReader(data), err
}

func decodeProblem(response *http.Response, data []byte) error {
	var p problem
	if err := json.Unmarshal(data, &p); err != nil || p.Type == "" {
		return fmt.Errorf("%w: %s", ErrUnreachable, response.Status)
	}
	return p.err()
}
