package kvhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/internal/gateway"
)

const (
	defaultTimeout = time.Second
	// defaultMaxResponse holds a list of every configuration part with room to
	// spare; a larger answer is a fault of the service.
	defaultMaxResponse = 32 << 20
	// A peer that vanished without closing the connection ends a watch after
	// keepAliveIdle + keepAliveCount * keepAliveInterval.
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// Client implements infra.KV. It is safe for concurrent use.
type Client struct {
	base        string
	timeout     time.Duration
	maxResponse int64
	http        *http.Client
}

var _ infra.KV = (*Client)(nil)

// Option changes a default of the client.
type Option func(*Client)

// WithTimeout sets the time limit of one request, and of opening a watch.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithMaxResponse sets the largest answer, or watch message, in bytes.
func WithMaxResponse(n int64) Option { return func(c *Client) { c.maxResponse = n } }

// New returns a client of the gateway at baseURL.
func New(baseURL string, opts ...Option) *Client {
	dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	c := &Client{
		base: strings.TrimSuffix(baseURL, "/"), timeout: defaultTimeout, maxResponse: defaultMaxResponse,
		http: &http.Client{
			Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute},
			// A 307 or 308 would make net/http send a write twice.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// open sends one request; the caller closes the body. connected tells whether the request may have been
// written when err is not nil.
func (c *Client) open(ctx context.Context, path string, body any) (resp *http.Response, connected bool, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, false, errors.Wrap(err, "encode request")
	}
	var got atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { got.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(data))
	if err != nil {
		return nil, false, errors.Wrap(err, "build request")
	}
	// Without GetBody the transport cannot send the request a second time.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err = c.http.Do(req)
	return resp, got.Load(), err
}

// call sends one request and decodes the first JSON value of the answer.
func (c *Client) call(ctx context.Context, path string, write bool, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, connected, err := c.open(ctx, path, body)
	if err != nil {
		return failure(err, path, write, connected)
	}
	defer func() { _ = resp.Body.Close() }()
	limited := &limitReader{r: resp.Body, left: c.maxResponse}
	if resp.StatusCode != http.StatusOK {
		return statusError(resp.StatusCode, limited, path, write)
	}
	if err := json.NewDecoder(limited).Decode(answer); err != nil {
		return failure(errors.Wrap(err, "read answer"), path, write, true)
	}
	return nil
}

// failure classifies a call without a usable answer. Only a call that never
// got a connection is known not to have run.
func failure(err error, path string, write, connected bool) error {
	switch {
	case !connected:
		return errkind.Wrap(err, errkind.StoreUnavailable, "%s: not sent", path).WithDidRun(errkind.NotRun)
	case write:
		return errkind.Wrap(infra.ErrUnknownOutcome, errkind.StoreUnavailable, "%s: no answer (%v)", path, err)
	default:
		return errkind.Wrap(err, errkind.StoreUnavailable, "%s: no answer", path)
	}
}

// statusError classifies an answer other than 200. A 5xx does not prove that a
// write did not happen: etcd also answers 503 when its leader changes after
// the write was proposed.
func statusError(status int, body io.Reader, path string, write bool) error {
	var s gateway.Status
	if err := json.NewDecoder(body).Decode(&s); err != nil {
		s = gateway.Status{Message: "no error text"}
	}
	return codeError(s, status, path, write)
}

func codeError(s gateway.Status, status int, path string, write bool) error {
	switch {
	case strings.Contains(s.Message, gateway.TextLeaseNotFound):
		return errors.Wrap(infra.ErrLeaseNotFound, path)
	case strings.Contains(s.Message, gateway.TextCompacted):
		return errors.Wrap(infra.ErrCompacted, path)
	case strings.Contains(s.Message, gateway.TextTooLarge):
		return errkind.New(errkind.TooLarge, "%s: %s", path, s.Message)
	case status >= http.StatusInternalServerError && write:
		return errkind.Wrap(infra.ErrUnknownOutcome, errkind.StoreUnavailable, "%s: status %d: %s", path, status, s.Message)
	default:
		return errkind.New(errkind.StoreUnavailable, "%s: status %d: %s", path, status, s.Message).WithDidRun(errkind.NotRun)
	}
}

// Get implements infra.KV.
func (c *Client) Get(ctx context.Context, key string) (infra.Item, int64, error) {
	var a gateway.RangeResponse
	if err := c.call(ctx, gateway.PathRange, false, gateway.RangeRequest{Key: []byte(key)}, &a); err != nil {
		return infra.Item{}, 0, err
	}
	if len(a.Kvs) == 0 {
		return infra.Item{}, a.Header.Revision, errors.Wrapf(infra.ErrNotFound, "key %q", key)
	}
	return a.Kvs[0].Item(), a.Header.Revision, nil
}

// List implements infra.KV.
func (c *Client) List(ctx context.Context, prefix string) ([]infra.Item, int64, error) {
	key, end := gateway.Prefix(prefix)
	var a gateway.RangeResponse
	if err := c.call(ctx, gateway.PathRange, false, gateway.RangeRequest{Key: key, RangeEnd: end}, &a); err != nil {
		return nil, 0, err
	}
	return a.Items(), a.Header.Revision, nil
}

// Commit implements infra.KV.
func (c *Client) Commit(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	var a gateway.TxnResponse
	if err := c.call(ctx, gateway.PathTxn, true, gateway.FromTxn(txn), &a); err != nil {
		return infra.TxnResult{}, err
	}
	return infra.TxnResult{Succeeded: a.Succeeded, Revision: a.Header.Revision}, nil
}

// Grant implements infra.KV. The TTL is rounded up to whole seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (infra.LeaseID, error) {
	var a gateway.LeaseResponse
	err := c.call(ctx, gateway.PathGrant, true, gateway.LeaseRequest{TTL: gateway.Seconds(ttl)}, &a)
	return infra.LeaseID(a.ID), err
}

// KeepAlive implements infra.KV.
func (c *Client) KeepAlive(ctx context.Context, id infra.LeaseID) (time.Duration, error) {
	var a gateway.KeepAliveResponse
	if err := c.call(ctx, gateway.PathKeepAlive, true, gateway.LeaseRequest{ID: int64(id)}, &a); err != nil {
		return 0, err
	}
	if a.Error != nil {
		return 0, codeError(*a.Error, http.StatusServiceUnavailable, gateway.PathKeepAlive, true)
	}
	if a.Result == nil {
		return 0, failure(errors.New("empty message"), gateway.PathKeepAlive, true, true)
	}
	return time.Duration(a.Result.TTL) * time.Second, nil
}

// Revoke implements infra.KV.
func (c *Client) Revoke(ctx context.Context, id infra.LeaseID) error {
	return c.call(ctx, gateway.PathRevoke, true, gateway.LeaseRequest{ID: int64(id)}, &gateway.LeaseResponse{})
}
