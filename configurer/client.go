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

// ErrUnreachable means that no answer came from the entry VM.
var ErrUnreachable = errors.New("entry VM can't be reached")

// answerLimit is the largest answer in bytes.
const answerLimit = 16 << 20

// Client calls the operators' API.
type Client struct {
	base string // URL without a slash at the end
	key  string // sent with each call
	http *http.Client
}

// NewClient returns a client of the entry VM or balancer at the URL, which shows the key.
func NewClient(url, key string, client *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(url, "/") + BasePath, key: key, http: client}
}

// Accepted is a change that was accepted.
type Accepted struct {
	revision   uint64
	everywhere bool // in force on all entry VMs
	holdings   []VMRevision
}

// Revision returns the new number.
func (a Accepted) Revision() uint64 { return a.revision }

// Everywhere reports whether the change is in force on all entry VMs.
func (a Accepted) Everywhere() bool { return a.everywhere }

// VMRevisions returns what each entry VM has in force, by id.
func (a Accepted) VMRevisions() []VMRevision { return a.holdings }

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

// History returns the revisions kept, the newest first, without documents.
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

// VMRevisions returns what each entry VM has in force, by id.
func (c *Client) VMRevisions(ctx context.Context) ([]VMRevision, error) {
	var wire forceWire
	err := c.get(ctx, "/force", &wire)
	return newHoldings(wire.Force), err
}

// KeyUse is a key with its last use.
type KeyUse struct {
	wire keyWire
}

// ID returns the public id of the key.
func (k KeyUse) ID() string { return k.wire.Key }

// Holder says whose key it is, such as "team cremona".
func (k KeyUse) Holder() string { return Key{team: k.wire.Team, role: Role(k.wire.Role)}.holder() }

// Active reports whether the key is valid.
func (k KeyUse) Active() bool { return k.wire.Active }

// Withdrawn reports whether an operator took the key back.
func (k KeyUse) Withdrawn() bool { return k.wire.Withdrawn }

// Expires returns when the key lapses; zero when it doesn't.
func (k KeyUse) Expires() time.Time { return k.wire.Expires }

// Used returns when the key was last accepted; zero when no entry VM has since it started.
func (k KeyUse) Used() time.Time { return k.wire.Used }

// Note returns who holds the key, or why it was withdrawn.
func (k KeyUse) Note() string { return k.wire.Note }

// MarshalJSON returns the key as the operators' API answers it.
func (k KeyUse) MarshalJSON() ([]byte, error) { return json.Marshal(k.wire) }

// Keys returns all keys by id, and whether all entry VMs told their uses.
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

// Apply replaces the revision planned on by the files.
func (c *Client) Apply(ctx context.Context, planned uint64, files []loader.File, reason string) (Accepted, error) {
	return c.change(ctx, "/apply", applyRequest{Revision: planned, Files: newFilesWire(files), Reason: reason})
}

// Rollback puts a former revision into force again.
func (c *Client) Rollback(ctx context.Context, planned, to uint64, reason string) (Accepted, error) {
	return c.change(ctx, "/rollback", rollbackRequest{Revision: planned, To: to, Reason: reason})
}

// Target is a data centre or a VM.
type Target struct{ centre, vm string }

// CentreTarget returns the data centre of that name.
func CentreTarget(name string) Target { return Target{centre: name} }

// VMTarget returns the VM of that id.
func VMTarget(id string) Target { return Target{vm: id} }

// Drain takes a data centre or VM out of service, or declares a data centre lost.
func (c *Client) Drain(ctx context.Context, target Target, lost bool, reason string) (Accepted, error) {
	return c.change(ctx, "/drain", stateRequest{Centre: target.centre, VM: target.vm, Lost: lost, Reason: reason})
}

// Return takes a data centre or VM back into service.
func (c *Client) Return(ctx context.Context, target Target, reason string) (Accepted, error) {
	return c.change(ctx, "/return", stateRequest{Centre: target.centre, VM: target.vm, Reason: reason})
}

// Withdraw ends a key for good.
func (c *Client) Withdraw(ctx context.Context, id, reason string) (Accepted, error) {
	return c.change(ctx, "/withdraw", withdrawRequest{Key: id, Reason: reason})
}

// Grant declares a key. With replaces, the key of that id lapses at the time until.
func (c *Client) Grant(ctx context.Context, key Key, replaces string, until time.Time, reason string) (Accepted, error) {
	return c.change(ctx, "/grant", grantRequest{
		Key: key.id, Hash: key.hash, Team: key.team, Role: string(key.role),
		Expires: key.expires, Note: key.note, Replaces: replaces, Until: until, Reason: reason,
	})
}

// NewKey returns a key to be granted to a team or a role. The hash is the SHA-256 of its
// secret in hexadecimal digits.
func NewKey(id string, hash string, team string, role Role, expires time.Time, note string) Key {
	return Key{id: id, hash: hash, team: team, role: role, expires: expires, note: note}
}

// Limit sets an exception for a team's limit or slots. An empty value ends it.
func (c *Client) Limit(ctx context.Context, team, key, value string, expires time.Time, reason string) (Accepted, error) {
	return c.change(ctx, "/limit", limitRequest{Team: team, Key: key, Value: value, Expires: expires, Reason: reason})
}

func (c *Client) change(ctx context.Context, path string, request any) (Accepted, error) {
	var wire changeWire
	err := c.call(ctx, http.MethodPost, path, request, &wire)
	return Accepted{revision: wire.Revision, everywhere: wire.Everywhere, holdings: newHoldings(wire.Force)}, err
}

func newHoldings(wires []holdingWire) []VMRevision {
	holdings := make([]VMRevision, len(wires))
	for i, wire := range wires {
		holdings[i] = VMRevision{vm: wire.VM, revision: wire.Revision}
		if wire.Error != "" {
			holdings[i].err = errors.New(wire.Error)
		}
	}
	return holdings
}

func newFilesWire(files []loader.File) filesWire {
	wire := filesWire{}
	for _, file := range files {
		wire[file.Name()] = string(file.Text())
	}
	return wire
}

func (c *Client) get(ctx context.Context, path string, response any) error {
	return c.call(ctx, http.MethodGet, path, nil, response)
}

// call sends a request and decodes the answer, or returns its problem.
func (c *Client) call(ctx context.Context, method, path string, request, response any) error {
	body, err := encodeBody(request)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return oops.In("configurer").Wrapf(err, "request to %s", c.base+path)
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	r.Header.Set("Content-Type", "application/json")
	answer, err := c.http.Do(r)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(answer.Body, answerLimit))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if answer.StatusCode != http.StatusOK {
		return decodeProblem(answer, data)
	}
	if err := json.Unmarshal(data, response); err != nil {
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

func decodeProblem(answer *http.Response, data []byte) error {
	var p problem
	if err := json.Unmarshal(data, &p); err != nil || p.Type == "" {
		return fmt.Errorf("%w: %s", ErrUnreachable, answer.Status)
	}
	return p.err()
}
