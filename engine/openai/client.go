package openai

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tidwall/gjson"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/engine/internal/httpcall"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra/httpclient"
)

const (
	dialTimeout    = 2 * time.Second
	maxIdlePerHost = 256
	idleTimeout    = 30 * time.Second
	// drainTimeout limits the wait for the end of the body after the end marker. The
	// transport can reuse the connection only if the body was read to its end.
	drainTimeout   = 100 * time.Millisecond
	maxDrainBytes  = 4 << 10
	maxReportBytes = 4 << 20
	maxCacheBytes  = 32 << 20
)

// codeOverwhelmed is the error code of an engine that is overloaded during its
// warm-up.
const codeOverwhelmed = "overwhelmed"

// Client is an engine.Model over HTTP.
type Client struct {
	base string
	http *http.Client
}

var _ engine.Model = (*Client)(nil)

// New returns a client of the engine at baseURL.
func New(baseURL string) *Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	c := httpclient.New(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		Protocols:           protocols,

		MaxResponseHeaderBytes: httpclient.MaxHeadBytes,
	})
	return &Client{base: strings.TrimSuffix(baseURL, "/"), http: c}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

type completionRequest struct {
	Model      string        `json:"model"`
	Prompt     string        `json:"prompt"`
	MaxTokens  int           `json:"max_tokens,omitempty"`
	Stream     bool          `json:"stream"`
	Options    streamOptions `json:"stream_options"`
	Priority   int           `json:"priority,omitempty"`
	DeadlineMS int64         `json:"deadline_ms,omitempty"`
	RequestID  string        `json:"request_id,omitempty"`
	Resume     *resume       `json:"resume,omitempty"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type resume struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

// Generate implements engine.Model. g.MaxTokens limits the complete response, while
// max_tokens of the HTTP request limits only the tokens still to be generated.
func (c *Client) Generate(ctx context.Context, g engine.Generation, emit func(engine.Token) error) (engine.Finish, error) {
	if g.MaxTokens > 0 && g.ResumeOffset >= g.MaxTokens {
		return engine.Finish{Reason: "length", Tokens: g.ResumeOffset}, nil
	}
	r := completionRequest{
		Model: g.Model, Prompt: g.Prompt, Stream: true, Options: streamOptions{IncludeUsage: true},
		Priority: g.Priority, DeadlineMS: g.Deadline.Milliseconds(), RequestID: g.RequestID,
	}
	if g.MaxTokens > 0 {
		r.MaxTokens = g.MaxTokens - g.ResumeOffset
	}
	if g.ResumeOffset > 0 {
		r.Resume = &resume{Offset: g.ResumeOffset, Text: g.ResumeText}
	}
	body, err := json.Marshal(r)
	if err != nil {
		return engine.Finish{}, errkind.Wrap(err, errkind.InvalidRequest, "encoding the request")
	}
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	res, err := c.send(streamCtx, http.MethodPost, "/v1/completions", body)
	if err != nil {
		return engine.Finish{}, err
	}
	defer func() { _ = res.Body.Close() }()
	finish, err := readStream(ctx, res.Body, g.ResumeOffset, limitTokens(g.MaxTokens, emit))
	var e emitError
	if errors.As(err, &e) {
		return engine.Finish{}, e.error
	}
	if err == nil {
		stop := time.AfterFunc(drainTimeout, cancel)
		_, _ = io.CopyN(io.Discard, res.Body, maxDrainBytes)
		stop.Stop()
	}
	return finish, err
}

// limitTokens returns a function that fails for a token beyond the limit of the
// request, which is zero if there is none.
func limitTokens(limit int, emit func(engine.Token) error) func(engine.Token) error {
	if limit == 0 {
		return emit
	}
	return func(t engine.Token) error {
		if t.Offset >= limit {
			return errkind.New(errkind.BackendFailed, "engine generated more than %d tokens", limit)
		}
		return emit(t)
	}
}

// send sends a request. It returns the response if its status is 200 or 204, and an
// error for any other status.
func (c *Client) send(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "building the request to the engine").WithDidRun(errkind.NotRun)
	}
	if method == http.MethodPost {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := httpcall.Do(c.http, req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode == http.StatusOK || res.StatusCode == http.StatusNoContent {
		return res, nil
	}
	defer func() { _ = res.Body.Close() }()
	return nil, statusError(res)
}

// statusError maps the status of a response to an error kind.
func statusError(res *http.Response) error {
	body := httpcall.ReadError(res)
	engineError := gjson.GetBytes(body, "error")
	text := errorMessage(engineError)
	if text == "" {
		text = httpcall.ErrorText(body)
	}
	kind := errkind.BackendFailed
	switch {
	case res.StatusCode == http.StatusServiceUnavailable && engineError.Get("code").String() == codeOverwhelmed:
		kind = errkind.Cold
	case res.StatusCode == http.StatusServiceUnavailable, res.StatusCode == http.StatusTooManyRequests:
		kind = errkind.Overloaded
	case res.StatusCode == http.StatusConflict:
		kind = errkind.Fenced
	case res.StatusCode == http.StatusRequestEntityTooLarge:
		kind = errkind.TooLarge
	case res.StatusCode >= 400 && res.StatusCode < 500:
		kind = errkind.InvalidRequest
	}
	return errkind.New(kind, "engine returned status %d: %s", res.StatusCode, text).
		WithRetryAfter(httpcall.RetryAfter(res.Header))
}

// readBody sends a request and returns the complete response body, which may have at
// most limit bytes.
func (c *Client) readBody(ctx context.Context, method, path string, body []byte, limit int64) ([]byte, error) {
	res, err := c.send(ctx, method, path, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, limit+1))
	if err != nil {
		return nil, httpcall.ConnectionError(ctx, err)
	}
	if int64(len(data)) > limit {
		return nil, errkind.New(errkind.BackendFailed, "response to %s exceeds %d bytes", path, limit)
	}
	return data, nil
}

func (c *Client) readJSON(ctx context.Context, path string, v any) error {
	data, err := c.readBody(ctx, http.MethodGet, path, nil, maxReportBytes)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return errkind.Wrap(err, errkind.BackendFailed, "decoding the response to %s", path)
	}
	return nil
}

// Load implements engine.Model.
func (c *Client) Load(ctx context.Context) (engine.Load, error) {
	var load engine.Load
	err := c.readJSON(ctx, "/load", &load)
	return load, err
}

// CacheEvents implements engine.Model.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]engine.CacheEvent, error) {
	var response struct {
		Events []engine.CacheEvent `json:"events"`
	}
	err := c.readJSON(ctx, "/cache/events?after="+strconv.FormatUint(after, 10), &response)
	return response.Events, err
}

// ExportCache implements engine.Model.
func (c *Client) ExportCache(ctx context.Context, requestID string) ([]byte, error) {
	return c.readBody(ctx, http.MethodGet, "/cache/"+url.PathEscape(requestID), nil, maxCacheBytes)
}

// ImportCache implements engine.Model.
func (c *Client) ImportCache(ctx context.Context, requestID string, cache []byte) error {
	_, err := c.readBody(ctx, http.MethodPut, "/cache/"+url.PathEscape(requestID), cache, maxReportBytes)
	return err
}

// Order implements engine.Model.
func (c *Client) Order(ctx context.Context, o engine.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errkind.Wrap(err, errkind.InvalidRequest, "encoding the order")
	}
	_, err = c.readBody(ctx, http.MethodPost, "/orders", body, maxReportBytes)
	return err
}
