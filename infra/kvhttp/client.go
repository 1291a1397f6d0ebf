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
	"github.com/skylarkstep/skylarkstep/infra/httpclient"
	"github.com/skylarkstep/skylarkstep/infra/internal/gateway"
)

const (
	defaultTimeout = time.Second
	// defaultMaxResponse is well above the size of a list of all configuration
	// parts. A larger response is an error of the store.
	defaultMaxResponse = 32 << 20
	// TCP keep-alive. If the server becomes unreachable without closing the
	// connection, a watch ends after
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

// Option overrides a default of the client.
type Option func(*Client)

// WithTimeout sets the time limit of one request, and of opening a watch.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithMaxResponse sets the size limit of a response or watch message in bytes.
func WithMaxResponse(n int64) Option { return func(c *Client) { c.maxResponse = n } }

// New returns a client of the gateway at baseURL.
func New(baseURL string, opts ...Option) *Client {
	dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	c := &Client{
		base: strings.TrimSuffix(baseURL, "/"), timeout: defaultTimeout, maxResponse: defaultMaxResponse,
		http: httpclient.New(&http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute,
			MaxResponseHeaderBytes: httpclient.MaxHeadBytes,
		}),
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// send sends one request. The caller closes the body of the response. If err is
// not nil, mayBeSent reports whether the request may have been written.
func (c *Client) send(ctx context.Context, path string, body any) (resp *http.Response, mayBeSent bool, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, false, errors.Wrap(err, "encode request")
	}
	var gotConnection atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConnection.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(data))
	if err != nil {
		return nil, false, errors.Wrap(err, "build request")
	}
	// Without GetBody the transport cannot send the request a second time.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err = c.http.Do(req)
	return resp, gotConnection.Load(), err
}

// call sends one request and decodes the response, which must consist of one JSON
// value. Only that of a keepalive is a stream, of which the first message counts.
func (c *Client) call(ctx context.Context, path string, isWrite bool, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, mayBeSent, err := c.send(ctx, path, body)
	if err != nil {
		return callError(err, path, isWrite, mayBeSent)
	}
	defer func() { _ = resp.Body.Close() }()
	limited := &limitReader{r: resp.Body, remaining: c.maxResponse}
	if resp.StatusCode != http.StatusOK {
		return statusError(resp.StatusCode, limited, path, isWrite)
	}
	dec := json.NewDecoder(limited)
	err = dec.Decode(into)
	if err == nil && path != gateway.PathKeepAlive {
		err = requireEnd(dec)
	}
	if err != nil {
		return callError(errors.Wrap(err, "read response"), path, isWrite, true)
	}
	return nil
}

// requireEnd returns an error unless nothing but blanks follows in a complete
// response.
func requireEnd(dec *json.Decoder) error {
	token, err := dec.Token()
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err == nil:
		return errors.Errorf("token %v after the response", token)
	default:
		return err
	}
}

// callError returns the error of a call without a usable response. Only a call
// that never got a connection is known not to have run.
func callError(err error, path string, isWrite, mayBeSent bool) error {
	switch {
	case !mayBeSent:
		return errkind.Wrap(err, errkind.StoreUnavailable, "%s: not sent", path).WithDidRun(errkind.NotRun)
	case isWrite:
		return errkind.Wrap(infra.ErrUnknownOutcome, errkind.StoreUnavailable, "%s: no response (%v)", path, err)
	default:
		return errkind.Wrap(err, errkind.StoreUnavailable, "%s: no response", path)
	}
}

// statusError returns the error of a response with a status other than 200. A 5xx
// does not prove that a write did not take effect: etcd also responds with 503 when
// its leader changes after the write was proposed.
func statusError(status int, body io.Reader, path string, isWrite bool) error {
	var s gateway.Status
	if err := json.NewDecoder(body).Decode(&s); err != nil {
		s = gateway.Status{Message: "no error text"}
	}
	return gatewayError(s, status, path, isWrite)
}

// gatewayError returns the error for a gateway's error message and HTTP status.
func gatewayError(s gateway.Status, status int, path string, isWrite bool) error {
	switch {
	case strings.Contains(s.Message, gateway.TextLeaseNotFound):
		return errors.Wrap(infra.ErrLeaseNotFound, path)
	case strings.Contains(s.Message, gateway.TextCompacted):
		return errors.Wrap(infra.ErrCompacted, path)
	case strings.Contains(s.Message, gateway.TextTooLarge):
		return errkind.New(errkind.TooLarge, "%s: %s", path, s.Message)
	case status >= http.StatusInternalServerError && isWrite:
		return errkind.Wrap(infra.ErrUnknownOutcome, errkind.StoreUnavailable, "%s: status %d: %s", path, status, s.Message)
	default:
		return errkind.New(errkind.StoreUnavailable, "%s: status %d: %s", path, status, s.Message).WithDidRun(errkind.NotRun)
	}
}

// Get implements infra.KV.
func (c *Client) Get(ctx context.Context, key string) (infra.Item, int64, error) {
	var reply gateway.RangeResponse
	if err := c.call(ctx, gateway.PathRange, false, gateway.RangeRequest{Key: []byte(key)}, &reply); err != nil {
		return infra.Item{}, 0, err
	}
	if len(reply.Kvs) == 0 {
		return infra.Item{}, reply.Header.Revision, errors.Wrapf(infra.ErrNotFound, "key %q", key)
	}
	return reply.Kvs[0].Item(), reply.Header.Revision, nil
}

// List implements infra.KV.
func (c *Client) List(ctx context.Context, prefix string) ([]infra.Item, int64, error) {
	key, end := gateway.Prefix(prefix)
	var reply gateway.RangeResponse
	if err := c.call(ctx, gateway.PathRange, false, gateway.RangeRequest{Key: key, RangeEnd: end}, &reply); err != nil {
		return nil, 0, err
	}
	return reply.Items(), reply.Header.Revision, nil
}

// Commit implements infra.KV.
func (c *Client) Commit(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	var reply gateway.TxnResponse
	if err := c.call(ctx, gateway.PathTxn, true, gateway.FromTxn(txn), &reply); err != nil {
		return infra.TxnResult{}, err
	}
	return infra.TxnResult{Succeeded: reply.Succeeded, Revision: reply.Header.Revision}, nil
}

// Grant implements infra.KV. The TTL is rounded up to whole seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (infra.LeaseID, error) {
	var reply gateway.LeaseResponse
	err := c.call(ctx, gateway.PathGrant, true, gateway.LeaseRequest{TTL: gateway.Seconds(ttl)}, &reply)
	return infra.LeaseID{Number: reply.ID}, err
}

// KeepAlive implements infra.KV.
func (c *Client) KeepAlive(ctx context.Context, id infra.LeaseID) (time.Duration, error) {
	var reply gateway.KeepAliveResponse
	if err := c.call(ctx, gateway.PathKeepAlive, true, gateway.LeaseRequest{ID: id.Number}, &reply); err != nil {
		return 0, err
	}
	if reply.Error != nil {
		return 0, gatewayError(*reply.Error, http.StatusServiceUnavailable, gateway.PathKeepAlive, true)
	}
	if reply.Result == nil {
		return 0, callError(errors.New("empty message"), gateway.PathKeepAlive, true, true)
	}
	return time.Duration(reply.Result.TTL) * time.Second, nil
}

// Revoke implements infra.KV.
func (c *Client) Revoke(ctx context.Context, id infra.LeaseID) error {
	return c.call(ctx, gateway.PathRevoke, true, gateway.LeaseRequest{ID: id.Number}, &gateway.LeaseResponse{})
}
