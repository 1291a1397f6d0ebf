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
	"github.com/skylarkstep/skylarkstep/timeline"
)

// maxAnswer bounds the size of an answer in bytes.
const maxAnswer = 64 << 20

const requestTimeout = 10 * time.Second

// Client knows the entries of a deployment and the token of an operator.
type Client struct {
	Entries []string
	Token   string
	HTTP    *http.Client
}

// New returns a client for the given base URLs of entries.
func New(entries []string, token string) *Client {
	return &Client{Entries: entries, Token: token, HTTP: &http.Client{Timeout: requestTimeout}}
}

// Request is one request to an entry.
type Request struct {
	Method string
	Path   string
	Query  url.Values
	Header http.Header
	Body   []byte
}

// Any sends the request to the first entry that can answer it. Another error is
// returned and not tried elsewhere.
func (c *Client) Any(ctx context.Context, r Request, into any) error {
	if len(c.Entries) == 0 {
		return errkind.New(errkind.InvalidRequest, "no entry is given; use --entry")
	}
	var err error
	for _, e := range c.Entries {
		err = c.Do(ctx, e, r, into)
		switch errkind.KindOf(err) {
		case errkind.TargetUnreachable, errkind.StoreUnavailable, errkind.NotReady, errkind.Isolated:
		default:
			return err
		}
	}
	return err
}

// Do sends the request to one entry.
func (c *Client) Do(ctx context.Context, entry string, r Request, into any) error {
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
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return errkind.Wrap(err, errkind.TargetUnreachable, "answer of entry %s", entry)
	}
	if res.StatusCode >= http.StatusBadRequest {
		return answerError(res.StatusCode, data)
	}
	if into == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, into), "decode answer")
}

func answerError(status int, data []byte) error {
	var a struct {
		httpapi.ErrorResponse
		Detail json.RawMessage `json:"detail"`
	}
	if err := json.Unmarshal(data, &a); err != nil {
		return errkind.New(errkind.Internal, "status %d: %s", status, bytes.TrimSpace(data))
	}
	kind, ok := errkind.ParseKind(a.Kind)
	if !ok {
		kind = errkind.Internal
	}
	e := errkind.New(kind, "%s", a.Message)
	if len(a.Detail) > 0 {
		e = errkind.Wrap(errors.New(string(a.Detail)), kind, "%s", a.Message)
	}
	return e.WithRetryAfter(time.Duration(a.RetryAfterMs) * time.Millisecond)
}

// Timeline gathers the events that the filter selects from all entries and
// their target processes, from the given sequence number of each process on.
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
