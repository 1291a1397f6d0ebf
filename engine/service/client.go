package service

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/engine/internal/httpcall"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra/httpclient"
)

// OperationIDHeader carries Call.OperationID. It is not named Idempotency-Key
// because Go's transport retries requests with that header by itself.
const OperationIDHeader = "X-Operation-Id"

// MaxResponseBytes limits the size of a response body.
const MaxResponseBytes = 1 << 20

const (
	dialTimeout    = 2 * time.Second
	maxIdlePerHost = 64
	idleTimeout    = 30 * time.Second
)

// droppedHeaders are not passed on to the service. They either make Go's transport
// retry a request, or apply to one connection only.
var droppedHeaders = []string{
	"Idempotency-Key", "X-Idempotency-Key", OperationIDHeader, "Connection", "Keep-Alive", "Transfer-Encoding",
	"Content-Length", "Upgrade", "Te", "Trailer", "Proxy-Connection", "Accept-Encoding",
}

// Client calls one plain service. It sends calls that are not idempotent on a new
// connection each, because the transport may retry a request on a reused one.
type Client struct {
	base     *url.URL
	urlErr   error
	pooled   *http.Client
	unpooled *http.Client
}

var _ engine.Service = (*Client)(nil)

// New returns a client of the service at baseURL. If baseURL is malformed, each call
// returns an error.
func New(baseURL string) *Client {
	base, err := url.Parse(baseURL)
	return &Client{base: base, urlErr: err, pooled: newHTTPClient(true), unpooled: newHTTPClient(false)}
}

// newHTTPClient returns an HTTP client that does not follow redirects, since a
// redirect would send the call a second time.
func newHTTPClient(keepAlive bool) *http.Client {
	// HTTP/2 is disabled because its transport retries requests after GOAWAY.
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return httpclient.New(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:   !keepAlive,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		Protocols:           protocols,

		MaxResponseHeaderBytes: httpclient.MaxHeadBytes,
	})
}

// Close closes idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Call implements engine.Service. It returns every complete response, whatever its
// status.
func (c *Client) Call(ctx context.Context, call engine.Call) (engine.Response, error) {
	req, err := c.newRequest(ctx, call)
	if err != nil {
		return engine.Response{}, err
	}
	hc := c.unpooled
	if call.Idempotent {
		hc = c.pooled
	}
	return roundTrip(hc, req)
}

// newRequest builds the HTTP request of a call.
func (c *Client) newRequest(ctx context.Context, call engine.Call) (*http.Request, error) {
	if c.urlErr != nil {
		return nil, errkind.Wrap(c.urlErr, errkind.Internal, "parsing the base URL of the service").WithDidRun(errkind.NotRun)
	}
	// JoinPath resolves "..", so such a path could leave the base path.
	if call.Operation == "" || slices.Contains(strings.Split(call.Operation, "/"), "..") {
		return nil, errkind.New(errkind.InvalidRequest, "operation %q is not a path below the base URL of the service", call.Operation)
	}
	u := c.base.JoinPath(call.Operation)
	u.RawQuery = call.Query
	method := call.Method
	if method == "" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(call.Body))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "building the request for operation %q", call.Operation)
	}
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	for _, name := range droppedHeaders {
		req.Header.Del(name)
	}
	if call.OperationID != "" {
		req.Header.Set(OperationIDHeader, call.OperationID)
	}
	if !call.Idempotent {
		req.GetBody = nil
	}
	return req, nil
}

// roundTrip sends the request and reads the complete response.
func roundTrip(hc *http.Client, req *http.Request) (engine.Response, error) {
	res, err := httpcall.Do(hc, req)
	if err != nil {
		return engine.Response{}, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, MaxResponseBytes+1))
	if err != nil {
		return engine.Response{}, httpcall.ConnectionError(req.Context(), err)
	}
	if len(body) > MaxResponseBytes {
		return engine.Response{}, errkind.New(errkind.BackendFailed, "response exceeds %d bytes", MaxResponseBytes)
	}
	return engine.Response{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}

// Load implements engine.Service.
func (c *Client) Load(ctx context.Context) (engine.Load, error) {
	var load engine.Load
	r, err := c.Call(ctx, engine.Call{Method: http.MethodGet, Operation: "load", Idempotent: true})
	if err != nil {
		return load, err
	}
	if r.Status != http.StatusOK {
		return load, errkind.New(errkind.BackendFailed, "request for the load report returned status %d", r.Status)
	}
	if err := json.Unmarshal(r.Body, &load); err != nil {
		return load, errkind.Wrap(err, errkind.BackendFailed, "decoding the load report")
	}
	return load, nil
}
