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
	// DefaultReadRate is the limit on reads and watches per second of one VM.
	DefaultReadRate rate.Limit = 100
	// DefaultWriteRate is the limit on writes per second of one VM.
	DefaultWriteRate rate.Limit = 100
	// DefaultTimeout bounds a call, except a watch, whose context has no deadline.
	DefaultTimeout = 2 * time.Second
	// watchTimeout bounds a watch, including the time that the store waits for changes.
	watchTimeout = 5 * time.Second
	// clientHeader is the header with the name of the calling VM.
	clientHeader = "Filberthaven-Client"
	// responseLimit is the largest response in bytes.
	responseLimit = 512 << 20
)

// Client calls the store over HTTP with JSON.
type Client struct {
	base    string // URL without a trailing slash
	name    string // of the VM
	http    *http.Client
	timeout time.Duration
	reads   *rate.Limiter // of gets, lists and watches
	writes  *rate.Limiter
	metrics clientMetrics
}

// clientMetrics counts calls by kind, and the failures that the store did not report.
type clientMetrics struct {
	reads, writes, watches, errors metrics.Counter
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithHTTPClient sets the HTTP client.
func WithHTTPClient(client *http.Client) ClientOption { return func(c *Client) { c.http = client } }

// WithName sets the name of the VM, which is sent with each call.
func WithName(name string) ClientOption { return func(c *Client) { c.name = name } }

// WithRates limits the reads (including watches) and the writes per second of this VM.
func WithRates(reads, writes rate.Limit) ClientOption {
	return func(c *Client) {
		c.reads = newLimiter(reads)
		c.writes = newLimiter(writes)
	}
}

// WithTimeout bounds each call, except watches, whose context has no deadline.
func WithTimeout(timeout time.Duration) ClientOption {
	return func(c *Client) { c.timeout = timeout }
}

// WithRegistry sets the registry of the counters store.reads, store.writes,
// store.watches and store.errors.
func WithRegistry(registry metrics.Registry) ClientOption {
	return func(c *Client) { c.metrics = newClientMetrics(registry) }
}

// New returns a client of the store at address, which is host:port or a URL.
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
		reads:   newLimiter(DefaultReadRate),
		writes:  newLimiter(DefaultWriteRate),
		metrics: newClientMetrics(metrics.NewRegistry()),
	}
	for _, option := range options {
		option(c)
	}
	return c, nil
}

// newLimiter returns a limiter that allows bursts of one second's worth.
func newLimiter(limit rate.Limit) *rate.Limiter { return rate.NewLimiter(limit, max(1, int(limit))) }

func newClientMetrics(registry metrics.Registry) clientMetrics {
	return clientMetrics{
		reads:   metrics.GetOrRegisterCounter("store.reads", registry),
		writes:  metrics.GetOrRegisterCounter("store.writes", registry),
		watches: metrics.GetOrRegisterCounter("store.watches", registry),
		errors:  metrics.GetOrRegisterCounter("store.errors", registry),
	}
}

// Store returns a Store whose calls are made by the client.
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

// entryMessage is an entry on the wire.
type entryMessage struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// listMessage is the response to a list or a watch.
type listMessage struct {
	Entries []entryMessage `json:"entries"`
	Next    uint64         `json:"next,omitempty"` // version to continue the watch from
}

// putMessage is the request of a put.
type putMessage struct {
	Value  []byte  `json:"value"`
	Expect uint64  `json:"expect"` // version to replace; 0: the key is absent
	Lease  LeaseID `json:"lease,omitempty"`
}

// versionMessage is the response to a put.
type versionMessage struct {
	Version uint64 `json:"version"`
}

// leaseMessage is the request for a lease, and the response with its id.
type leaseMessage struct {
	ID  LeaseID `json:"id,omitempty"`
	TTL int64   `json:"ttl,omitempty"` // milliseconds
}

// errorMessage is the body of a response with an error status.
type errorMessage struct {
	Error string `json:"error"`
}

// wireErrors maps the error codes in the store's responses to errors.
var wireErrors = map[string]error{
	"notfound":    ErrNotFound,
	"conflict":    ErrConflict,
	"unavailable": ErrUnavailable,
	"toolarge":    ErrTooLarge,
	"expired":     ErrLeaseExpired,
}

func (m entryMessage) entry() Entry { return NewEntry(m.Key, m.Value, m.Version, m.Deleted) }

func (m listMessage) entries() []Entry {
	entries := make([]Entry, 0, len(m.Entries))
	for _, message := range m.Entries {
		entries = append(entries, message.entry())
	}
	return entries
}

func (c *Client) get(ctx context.Context, key string) (Entry, error) {
	c.metrics.reads.Inc(1)
	var response entryMessage
	path := "/v1/kv?" + url.Values{"key": {key}}.Encode()
	if err := c.read(ctx, path, c.timeout, &response); err != nil {
		return Entry{}, err
	}
	return response.entry(), nil
}

func (c *Client) list(ctx context.Context, prefix string) ([]Entry, error) {
	c.metrics.reads.Inc(1)
	var response listMessage
	path := "/v1/list?" + url.Values{"prefix": {prefix}}.Encode()
	if err := c.read(ctx, path, c.timeout, &response); err != nil {
		return nil, err
	}
	return response.entries(), nil
}

func (c *Client) watch(ctx context.Context, prefix string, after uint64) ([]Entry, uint64, error) {
	c.metrics.watches.Inc(1)
	var response listMessage
	path := "/v1/watch?" + url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)}}.Encode()
	if err := c.read(ctx, path, watchTimeout, &response); err != nil {
		return nil, 0, err
	}
	return response.entries(), response.Next, nil
}

func (c *Client) put(ctx context.Context, key string, value []byte, expect uint64, lease LeaseID) (uint64, error) {
	if len(value) > ValueLimit {
		return 0, ErrTooLarge
	}
	var response versionMessage
	path := "/v1/kv?" + url.Values{"key": {key}}.Encode()
	err := c.write(ctx, http.MethodPut, path, putMessage{Value: value, Expect: expect, Lease: lease}, &response)
	return response.Version, err
}

func (c *Client) remove(ctx context.Context, key string, expect uint64) error {
	path := "/v1/kv?" + url.Values{"key": {key}, "expect": {strconv.FormatUint(expect, 10)}}.Encode()
	return c.write(ctx, http.MethodDelete, path, nil, nil)
}

func (c *Client) grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var response leaseMessage
	err := c.write(ctx, http.MethodPost, "/v1/leases", leaseMessage{TTL: ttl.Milliseconds()}, &response)
	return response.ID, err
}

func (c *Client) renew(ctx context.Context, lease LeaseID) error {
	return c.write(ctx, http.MethodPut, leasePath(lease), nil, nil)
}

func (c *Client) revoke(ctx context.Context, lease LeaseID) error {
	return c.write(ctx, http.MethodDelete, leasePath(lease), nil, nil)
}

func leasePath(lease LeaseID) string { return "/v1/leases/" + strconv.FormatUint(uint64(lease), 10) }

// read makes a call that changes nothing. It returns the error that the store reports, and
// ErrUnavailable for any other failure.
func (c *Client) read(ctx context.Context, path string, timeout time.Duration, result any) error {
	ctx, cancel := withDefaultTimeout(ctx, timeout)
	defer cancel()
	if err := c.reads.Wait(ctx); err != nil {
		return c.fail(ErrUnavailable, err)
	}
	fromStore, err := c.call(ctx, http.MethodGet, path, nil, result)
	if err != nil && !fromStore {
		return c.fail(ErrUnavailable, err)
	}
	return err
}

// write makes a call that changes the store. It returns the error that the store reports.
// For any other failure it returns ErrUnavailable if there was no connection, so that
// nothing was sent, and otherwise ErrOutcomeUnknown.
func (c *Client) write(ctx context.Context, method, path string, message, result any) error {
	c.metrics.writes.Inc(1)
	ctx, cancel := withDefaultTimeout(ctx, c.timeout)
	defer cancel()
	if err := c.writes.Wait(ctx); err != nil {
		return c.fail(ErrUnavailable, err)
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	fromStore, err := c.call(httptrace.WithClientTrace(ctx, trace), method, path, message, result)
	switch {
	case err == nil || fromStore:
		return err
	case connected.Load():
		return c.fail(ErrOutcomeUnknown, err)
	default:
		return c.fail(ErrUnavailable, err)
	}
}

// fail counts a failure and returns it as an error that wraps kind and has the text of the cause.
func (c *Client) fail(kind, cause error) error {
	c.metrics.errors.Inc(1)
	return oops.In("keeper").Wrapf(kind, "%v", cause)
}

// withDefaultTimeout adds a timeout to a context that has no deadline.
func withDefaultTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, timeout)
}

// call makes one HTTP call and decodes the response into result, unless that is nil.
// If err is not nil, fromStore tells whether the store reported it, as one of wireErrors.
func (c *Client) call(ctx context.Context, method, path string, message, result any) (fromStore bool, err error) {
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
	data, err := io.ReadAll(io.LimitReader(response.Body, responseLimit))
	if err != nil {
		return false, err
	}
	if response.StatusCode != http.StatusOK {
		return responseError(response.Status, data)
	}
	if result == nil {
		return true, nil
	}
	return false, json.Unmarshal(data, result)
}

// responseError returns the error of a response with an error status. fromStore tells
// whether it is one of wireErrors.
func responseError(status string, data []byte) (fromStore bool, err error) {
	var message errorMessage
	if json.Unmarshal(data, &message) == nil {
		if sentinel, ok := wireErrors[message.Error]; ok {
			return true, sentinel
		}
	}
	return false, errors.New("unexpected answer " + status)
}
