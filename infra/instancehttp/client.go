package instancehttp

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/httpclient"
)

const (
	defaultTimeout = time.Second
	// defaultMaxResponse is enough for over 50,000 rows of about 150 bytes.
	defaultMaxResponse = 8 << 20
)

// Client implements infra.InstanceList.
type Client struct {
	url         string
	timeout     time.Duration
	maxResponse int64
	http        *http.Client
}

var _ infra.InstanceList = (*Client)(nil)

// Option overrides a default of the client.
type Option func(*Client)

// WithTimeout sets the time limit of one request.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithMaxResponse sets the size limit of a response in bytes.
func WithMaxResponse(n int64) Option { return func(c *Client) { c.maxResponse = n } }

// New returns a client that reads the list at url.
func New(url string, opts ...Option) *Client {
	c := &Client{
		url: url, timeout: defaultTimeout, maxResponse: defaultMaxResponse,
		http: httpclient.New(&http.Transport{
			MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: httpclient.MaxHeadBytes,
		}),
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Instances implements infra.InstanceList. It returns an error and no row if the
// response is interrupted or too large.
func (c *Client) Instances(ctx context.Context) ([]infra.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "instance list")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.StoreUnavailable, "instance list")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errkind.New(errkind.StoreUnavailable, "instance list: status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, c.maxResponse+1))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.StoreUnavailable, "instance list")
	}
	if int64(len(data)) > c.maxResponse {
		return nil, errkind.New(errkind.TooLarge, "instance list: response exceeds %d bytes", c.maxResponse)
	}
	elements, err := splitArray(data)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.StoreUnavailable, "instance list")
	}
	rows, oddRow := make([]infra.Instance, 0, len(elements)), error(nil)
	for i, element := range elements {
		r, err := decodeRow(element)
		if err != nil {
			oddRow = errkind.Wrap(err, errkind.InvalidRequest, "instance list: row %d of %d", i, len(elements))
			continue
		}
		rows = append(rows, r)
	}
	return rows, oddRow
}
