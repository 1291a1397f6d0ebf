package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/daemon/httpapi"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra/httpclient"
	"github.com/skylarkstep/skylarkstep/timeline"
)

const (
	// maxResponseBytes limits the size of a response body.
	maxResponseBytes = 64 << 20
	// requestTimeout limits one request to one entry.
	requestTimeout = 10 * time.Second
	// maxErrorText limits the text of an error response that is not an error of the
	// API, in bytes.
	maxErrorText = 256
)

// Client sends requests to the entries of a deployment with the token of an
// operator.
type Client struct {
	Entries []string
	Token   string
	HTTP    *http.Client
}

// New returns a client for entries with the given base URLs.
func New(entries []string, token string) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone() // with the proxy of the environment
	transport.MaxResponseHeaderBytes = httpclient.MaxHeadBytes
	c := httpclient.New(transport)
	c.Timeout = requestTimeout
	return &Client{Entries: entries, Token: token, HTTP: c}
}

// Request is one request to an entry.
type Request struct {
	Method string
	Path   string
	Query  url.Values
	Header http.Header
	Body   []byte
}

// DoAny sends the request to the entries in order until one can serve it. It goes
// on to the next entry only if the entry is unreachable, not ready or isolated,
// or the store is unavailable. Any other error is returned at once.
func (c *Client) DoAny(ctx context.Context, r Request, result any) error {
	if len(c.Entries) == 0 {
		return errkind.New(errkind.InvalidRequest, "no entry is given; use --entry")
	}
	var err error
	for _, entry := range c.Entries {
		err = c.Do(ctx, entry, r, result)
		switch errkind.KindOf(err) {
		case errkind.TargetUnreachable, errkind.StoreUnavailable, errkind.NotReady, errkind.Isolated:
		default:
			return err
		}
	}
	return err
}

// Do sends the request to one entry and decodes the response into result, unless
// that is nil.
func (c *Client) Do(ctx context.Context, entry string, r Request, result any) error {
	u := entry + r.Path
	if len(r.Query) > 0 {
		u += "?" + r.Query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, u, bytes.NewReader(r.Body))
	if err != nil {
		return errkind.Wrap(err, errkind.InvalidRequest, "entry address %q", entry)
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	req.Header.Set("Content-Type", "application/json")
	res, err := c.HTTP.Do(req)
	if err != nil {
		return errkind.Wrap(err, errkind.TargetUnreachable, "entry %s does not answer", entry)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return errkind.Wrap(err, errkind.TargetUnreachable, "read the response of entry %s", entry)
	}
	if len(data) > maxResponseBytes {
		return errkind.New(errkind.Internal, "the response of entry %s exceeds %d bytes", entry, maxResponseBytes)
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return decodeError(res.StatusCode, data)
	}
	if result == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, result), "decode response")
}

// decodeError returns the error that a response body holds. A body that is not
// an error of the API gives an internal error with the status and the begin of the
// body, quoted because it may contain control characters of a terminal.
func decodeError(status int, data []byte) error {
	var body struct {
		httpapi.ErrorResponse
		Detail json.RawMessage `json:"detail"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return errkind.New(errkind.Internal, "status %d: %q", status, data[:min(len(data), maxErrorText)])
	}
	kind, ok := errkind.ParseKind(body.Kind)
	if !ok {
		kind = errkind.Internal
	}
	e := errkind.New(kind, "%s", body.Message)
	if len(body.Detail) > 0 {
		e = errkind.Wrap(errors.New(string(body.Detail)), kind, "%s", body.Message)
	}
	return e.WithRetryAfter(time.Duration(body.RetryAfterMs) * time.Millisecond)
}

// Timeline collects the events that the filter selects from all entries and
// their targets. Entries that are unreachable are listed as such.
func (c *Client) Timeline(ctx context.Context, f timeline.Filter) (*timeline.Timeline, error) {
	filter, err := json.Marshal(f)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	q := url.Values{"filter": {string(filter)}}
	var all []timeline.Batch
	for _, e := range c.Entries {
		var batches []timeline.Batch
		err := c.Do(ctx, e, Request{Method: http.MethodGet, Path: "/v1/timeline", Query: q}, &batches)
		switch errkind.KindOf(err) {
		case errkind.Unspecified:
			all = append(all, batches...)
		case errkind.TargetUnreachable:
			all = append(all, timeline.Batch{Process: e, Unreachable: err.Error()})
		default:
			return nil, err
		}
	}
	return timeline.Merge(all), nil
}
