package weighthttp

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/httpclient"
)

const (
	// defaultHeaderTimeout limits the wait for the header of a response. The whole
	// fetch is limited only by the caller's context, because objects take minutes.
	defaultHeaderTimeout = 5 * time.Second
	// defaultRetryAfter applies if the store sends no usable Retry-After.
	defaultRetryAfter = time.Second
	// maxRetryAfter prevents a wrong header from stopping fetches for good.
	maxRetryAfter = time.Hour
)

// Client implements infra.WeightStore.
type Client struct {
	base string
	http *http.Client
}

var _ infra.WeightStore = (*Client)(nil)

// Option overrides a default of the client.
type Option func(*http.Transport)

// WithHeaderTimeout sets the limit of the wait for the header of a response.
func WithHeaderTimeout(d time.Duration) Option {
	return func(t *http.Transport) { t.ResponseHeaderTimeout = d }
}

// New returns a client of the store at baseURL.
func New(baseURL string, opts ...Option) *Client {
	t := &http.Transport{
		ResponseHeaderTimeout: defaultHeaderTimeout, IdleConnTimeout: time.Minute, DisableCompression: true,
		MaxResponseHeaderBytes: httpclient.MaxHeadBytes,
	}
	for _, o := range opts {
		o(t)
	}
	return &Client{base: strings.TrimSuffix(baseURL, "/"), http: httpclient.New(t)}
}

// Fetch implements infra.WeightStore. The object is read and discarded.
func (c *Client) Fetch(ctx context.Context, object string) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/objects/"+url.PathEscape(object), nil)
	if err != nil {
		return 0, errkind.Wrap(err, errkind.InvalidRequest, "weights %q", object)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, errkind.Wrap(err, errkind.StoreUnavailable, "weights %q", object)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusTooManyRequests:
		return 0, errkind.New(errkind.Overloaded, "weights %q: rate limit", object).
			WithRetryAfter(retryAfter(resp.Header.Get("Retry-After"), time.Now()))
	case http.StatusNotFound:
		return 0, errors.Wrapf(infra.ErrNotFound, "weights %q", object)
	default:
		return 0, errkind.New(errkind.StoreUnavailable, "weights %q: status %d", object, resp.StatusCode)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil {
		return n, errkind.Wrap(err, errkind.StoreUnavailable, "weights %q: interrupted after %d bytes", object, n)
	}
	return n, nil
}

// retryAfter parses a Retry-After header, which holds seconds or an HTTP date.
func retryAfter(v string, now time.Time) time.Duration {
	if s, err := strconv.Atoi(v); err == nil && s > 0 {
		return time.Duration(min(s, int(maxRetryAfter/time.Second))) * time.Second
	}
	if t, err := http.ParseTime(v); err == nil && t.After(now) {
		return min(t.Sub(now), maxRetryAfter)
	}
	return defaultRetryAfter
}
