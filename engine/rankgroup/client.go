// Package rankgroup implements an HTTP client for the engine of a rank group.
package rankgroup

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/engine/internal/httpcall"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/expertmap"
	"github.com/skylarkstep/skylarkstep/infra/httpclient"
)

const (
	dialTimeout      = 2 * time.Second
	maxResponseBytes = 64 << 10
)

// Client is an engine.Group over HTTP.
type Client struct {
	base string
	http *http.Client
}

var _ engine.Group = (*Client)(nil)

// New returns a client of the engine at baseURL.
func New(baseURL string) *Client {
	c := httpclient.New(&http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, DisableCompression: true,
		MaxResponseHeaderBytes: httpclient.MaxHeadBytes,
	})
	return &Client{base: strings.TrimSuffix(baseURL, "/"), http: c}
}

// Switch implements engine.Group.
func (c *Client) Switch(ctx context.Context, m expertmap.Message) (expertmap.Message, error) {
	var response expertmap.Message
	body, err := json.Marshal(m)
	if err != nil {
		return response, errkind.Wrap(err, errkind.Internal, "encoding the message")
	}
	err = c.roundTrip(ctx, http.MethodPost, "/group/switch", body, &response)
	return response, err
}

// Progress implements engine.Group.
func (c *Client) Progress(ctx context.Context) (engine.GroupProgress, error) {
	var p engine.GroupProgress
	err := c.roundTrip(ctx, http.MethodGet, "/group/progress", nil, &p)
	return p, err
}

// roundTrip sends a request and decodes the JSON response into response.
func (c *Client) roundTrip(ctx context.Context, method, path string, body []byte, response any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "building the request to %s", c.base)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := httpcall.Do(c.http, req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errkind.New(errkind.BackendFailed, "engine of the rank group returned status %d: %s", res.StatusCode, httpcall.ErrorText(httpcall.ReadError(res)))
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return httpcall.ConnectionError(ctx, err)
	}
	if len(data) > maxResponseBytes {
		return errkind.New(errkind.BackendFailed, "response of the engine of the rank group exceeds %d bytes", maxResponseBytes)
	}
	if err := json.Unmarshal(data, response); err != nil {
		return errkind.Wrap(err, errkind.BackendFailed, "decoding the response of the engine of the rank group")
	}
	return nil
}
