package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"
	"golang.org/x/time/rate"
)

const (
	// DefaultReadRate is how many reads and watches a second one VM makes.
	DefaultReadRate rate.Limit = 100
	// DefaultWriteRate is how many writes a second one VM makes.
	DefaultWriteRate rate.Limit = 100
	// DefaultTimeout bounds a call whose context has no deadline.
	DefaultTimeout = 2 * time.Second
	// watchTimeout bounds a watch, the service's own wait included.
	watchTimeout = 5 * time.Second
	// clientHeader names the VM that a call comes from.
	clientHeader = "Filberthaven-Client"
	// answerLimit is the largest answer in bytes.
	answerLimit = 512 << 20
)

// Client calls the service over HTTP with JSON.
type Client struct {
	base    string // URL without a slash at its end
	name    string // of the VM
	http    *http.Client
	timeout time.Duration
	reads   *rate.Limiter // of gets, lists and watches
	writes  *rate.Limiter
	metrics clientMetrics
}

// clientMetrics counts calls by their kind.
type clientMetrics struct {
	reads, writes, watches, errors metrics.Counter
}

// ClientOption changes a Client under construction.
type ClientOption func(*Client)

// WithHTTPClient sets the HTTP client.
func WithHTTPClient(client *http.Client) ClientOption { return func(c *Client) { c.http = client } }

// WithName sets the name of the VM, which goes with each call.
func WithName(name string) ClientOption { return func(c *Client) { c.name = name } }

// WithRates sets the reads (watches included) and writes a second of this VM.
func WithRates(reads, writes rate.Limit) ClientOption {
	return func(c *Client) {
		c.reads = limiter(reads)
		c.writes = limiter(writes)
	}
}

// WithTimeout bounds each call whose context has no deadline.
func WithTimeout(timeout time.Duration) ClientOption {
	return func(c *Client) { c.timeout = timeout }
}

// WithRegistry counts the calls in that registry, as store.reads, store.writes,
// store.watches and store.errors.
func WithRegistry(registry metrics.Registry) ClientOption {
	return func(c *Client) { c.metrics = newClientMetrics(registry) }
}

// New returns a client of the service at address, either host:port or a URL.
func New(address string, options ...ClientOption) (*Client, error) {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	base, err := url.Parse(address)
	if err != nil || base.Host == "" {
		return nil, oops.In("keeper").With("address", address).Errorf("address of the key-value service is no host:port or URL")
	}
	c := &Client{
		base:    strings.TrimSuffix(base.String(), "/"),
		http:    http.DefaultClient,
		timeout: DefaultTimeout,
		reads:   limiter(DefaultReadRate),
		writes:  limiter(DefaultWriteRate),
		metrics: newClientMetrics(metrics.NewRegistry()),
	}
	for _, option := range options {
		option(c)
	}
	return c, nil
}

// limiter allows bursts of a second's worth.
func limiter(limit rate.Limit) *rate.Limiter { return rate.NewLimiter(limit, max(1, int(limit))) }

// newClientMetrics registers the counters.
func newClientMetrics(registry metrics.Registry) clientMetrics {
	return clientMetrics{
		reads:   metrics.GetOrRegisterCounter("store.reads", registry),
		writes:  metrics.GetOrRegisterCounter("store.writes", registry),
		watches: metrics.GetOrRegisterCounter("store.watches", registry),
		errors:  metrics.GetOrRegisterCounter("store.errors", registry),
	}
}

// Store returns the service as function fields.
func (c *Client) Store() Store {
	return Store{
		Get:    c.get,
		List:   c.list,
		Put:    c.put,
		Delete: c.remove,
		Watch:  c.watch,
		Grant:  c.grant,
		Renew:  c.renew,
		Revoke: c.revoke,
	}
}

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
	Value  []byte  `json:"value"`
	Expect uint64  `json:"expect"`
	Lease  LeaseID `json:"lease,omitempty"`
}

// versionMessage answers a write.
type versionMessage struct {
	Version uint64 `json:"version"`
}

// leaseMessage asks for a lease, or answers with one.
type leaseMessage struct {
	ID  LeaseID `json:"id,omitempty"`
	TTL int64   `json:"ttl,omitempty"` // milliseconds
}

// errorMessage is the body of an answer that is no success.
type errorMessage struct {
	Error string `json:"error"`
}

// wireErrors are the errors that the service tells apart.
var wireErrors = map[string]error{
	"notfound":    ErrNotFound,
	"conflict":    ErrConflict,
	"unavailable": ErrUnavailable,
	"toolarge":    ErrTooLarge,
	"expired":     ErrLeaseExpired,
}

// entry returns the entry of a message.
func (m entryMessage) entry() Entry { return NewEntry(m.Key, m.Value, m.Version, m.Deleted) }

// entries returns the entries of a message.
func (m listMessage) entries() []Entry {
	entries := make([]Entry, 0, len(m.Entries))
	for _, message := range m.Entries {
		entries = append(entries, message.entry())
	}
	return entries
}

func (c *Client) get(ctx context.Context, key string) (Entry, error) {
	c.metrics.reads.Inc(1)
	var answer entryMessage
	path := "/v1/kv?" + url.Values{"key": {key}}.Encode()
	if err := c.read(ctx, path, c.timeout, &answer); err != nil {
		return Entry{}, err
	}
	return answer.entry(), nil
}

func (c *Client) list(ctx context.Context, prefix string) ([]Entry, error) {
	c.metrics.reads.Inc(1)
	var answer listMessage
	path := "/v1/list?" + url.Values{"prefix": {prefix}}.Encode()
	if err := c.read(ctx, path, c.timeout, &answer); err != nil {
		return nil, err
	}
	return answer.entries(), nil
}

func (c *Client) watch(ctx context.Context, prefix string, after uint64) ([]Entry, uint64, error) {
	c.metrics.watches.Inc(1)
	var answer listMessage
	path := "/v1/watch?" + url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)}}.Encode()
	if err := c.read(ctx, path, watchTimeout, &answer); err != nil {
		return nil, 0, err
	}
	return answer.entries(), answer.Next, nil
}

func (c *Client) put(ctx context.Context, key string, value []byte, expect uint64, lease LeaseID) (uint64, error) {
	if len(value) > ValueLimit {
		return 0, ErrTooLarge
	}
	var answer versionMessage
	path := "/v1/kv?" + url.Values{"key": {key}}.Encode()
	err := c.write(ctx, http.MethodPut, path, putMessage{Value: value, Expect: expect, Lease: lease}, &answer)
	return answer.Version, err
}

func (c *Client) remove(ctx context.Context, key string, expect uint64) error {
	path := "/v1/kv?" + url.Values{"key": {key}, "expect": {strconv.FormatUint(expect, 10)}}.Encode()
	return c.write(ctx, http.MethodDelete, path, nil, nil)
}

func (c *Client) grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var answer leaseMessage
	err := c.write(ctx, http.MethodPost, "/v1/leases", leaseMessage{TTL: ttl.Milliseconds()}, &answer)
	return answer.ID, err
}

func (c *Client) renew(ctx context.Context, lease LeaseID) error {
	return c.write(ctx, http.MethodPut, leasePath(lease), nil, nil)
}

func (c *Client) revoke(ctx context.Context, lease LeaseID) error {
	return c.write(ctx, http.MethodDelete, leasePath(lease), nil, nil)
}

// leasePath returns the path of a lease.
func leasePath(lease LeaseID) string { return "/v1/leases/" + strconv.FormatUint(uint64(lease), 10) }

// read makes a call without effect: whatever fails, the service is unavailable.
func (c *Client) read(ctx context.Context, path string, timeout time.Duration, answer any) error {
	ctx, cancel := bound(ctx, timeout)
	defer cancel()
	if err := c.reads.Wait(ctx); err != nil {
		return c.failed(ErrUnavailable, err)
	}
	known, err := c.call(ctx, http.MethodGet, path, nil, answer)
	if err != nil && !known {
		return c.failed(ErrUnavailable, err)
	}
	return err
}

// write makes a call with an effect: unless the service has said what became of
// it, or no connection was had, the outcome is unknown.
func (c *Client) write(ctx context.Context, method, path string, message, answer any) error {
	c.metrics.writes.Inc(1)
	ctx, cancel := bound(ctx, c.timeout)
	defer cancel()
	if err := c.writes.Wait(ctx); err != nil {
		return c.failed(ErrUnavailable, err)
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	known, err := c.call(httptrace.WithClientTrace(ctx, trace), method, path, message, answer)
	switch {
	case err == nil || known:
		return err
	case connected.Load():
		return c.failed(ErrOutcomeUnknown, err)
	default:
		return c.failed(ErrUnavailable, err)
	}
}

// failed counts a failure and returns it as kind.
func (c *Client) failed(kind, cause error) error {
	c.metrics.errors.Inc(1)
	return oops.In("keeper").Wrapf(kind, "%v", cause)
}

// bound gives a context a deadline unless it has one.
func bound(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if _, bounded := ctx.Deadline(); bounded {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, timeout)
}

// call makes one HTTP call. It reports whether the service itself has told the
// outcome, which err then holds as one of wireErrors.
func (c *Client) call(ctx context.Context, method, path string, message, answer any) (known bool, err error) {
	var body io.Reader
	if message != nil {
		data, err := json.Marshal(message)
		if err != nil {
			return false, err
		}
		body = strings.NewReader(string(data))
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return false, err
	}
	request.Header.Set(clientHeader, c.name)
	response, err := c.http.Do(request)
	if err != nil {
		return false, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, answerLimit))
	if err != nil {
		return false, err
	}
	if response.StatusCode != http.StatusOK {
		return refusal(response.Status, data)
	}
	if answer == nil {
		return true, nil
	}
	return false, json.Unmarshal(data, answer)
}

// refusal returns the error that an answer without success stands for.
func refusal(status string, data []byte) (known bool, err error) {
	var message errorMessage
	if json.Unmarshal(data, &message) == nil {
		if sentinel, ok := wireErrors[message.Error]; ok {
			return true, sentinel
		}
	}
	return false, errors.New("unexpected answer " + status)
}
