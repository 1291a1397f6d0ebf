package caller

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/errkind"
)

// Bounds of a Client.
const (
	dialTimeout         = 2 * time.Second
	maxIdleConnsPerHost = 64
	idleConnTimeout     = 30 * time.Second
	// maxRounds bounds how often all addresses are tried without progress.
	maxRounds = 3
	// roundPause is the mean pause after a round in which every address failed.
	roundPause = 200 * time.Millisecond
	// noDataTimeout ends an attempt at an entry that sends nothing. An entry
	// itself answers after at most 3 attempts of 10 s each.
	noDataTimeout = 35 * time.Second
	maxErrorBytes = 64 << 10
)

// Options of a Client.
type Options struct {
	// Entries are base URLs that are asked for addresses first, such as
	// "http://192.0.2.1:8080".
	Entries []string
	// Key is the bearer key of the customer.
	Key string
	// Transport replaces the transport of the client.
	Transport http.RoundTripper
}

// Client sends requests to the system. It is safe for concurrent use.
type Client struct {
	options    Options
	http       *http.Client
	addresses  addressCache
	operations operationIssuer
}

// New returns a client.
func New(o Options) *Client {
	if o.Transport == nil {
		// HTTP/2 is off because its transport repeats requests by itself.
		protocols := new(http.Protocols)
		protocols.SetHTTP1(true)
		o.Transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
			Protocols:           protocols,
		}
	}
	return &Client{
		options: o,
		http: &http.Client{
			Transport: o.Transport,
			// A redirect would send a call a second time.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// send sends one request to one address. The error of a request for which no
// connection was made has DidRun NotRun.
func (c *Client) send(ctx context.Context, method, url string, header http.Header, body []byte) (*http.Response, *InterruptedError) {
	ctx, connected := traceConnection(ctx)
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, &InterruptedError{DidRun: errkind.NotRun, cause: err}
	}
	if header != nil {
		req.Header = header.Clone()
	}
	req.Header.Set("Authorization", "Bearer "+c.options.Key)
	// Without GetBody the transport does not repeat a request by itself.
	req.GetBody = nil
	res, err := c.http.Do(req)
	if err != nil {
		interruptedErr := &InterruptedError{cause: err}
		if !connected() {
			interruptedErr.DidRun = errkind.NotRun
		}
		return nil, interruptedErr
	}
	return res, nil
}

// readError returns the error of an answer whose status is not 200.
func readError(res *http.Response) *ResponseError {
	defer func() { _ = res.Body.Close() }()
	body, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	return decodeError(res.StatusCode, res.Header, body)
}

// pause waits for d, with jitter, or returns an error at once when ctx would
// end before.
func pause(ctx context.Context, d time.Duration) error {
	d += rand.N(d/4 + 1)
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < d {
		return errors.WithStack(context.DeadlineExceeded)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

// addressRounds walks through the addresses, starting again when all have been tried.
type addressRounds struct {
	client    *Client
	round     int
	remaining []string
}

// next returns the address for the next attempt. After a whole round it pauses
// and asks for the addresses again.
func (r *addressRounds) next(ctx context.Context) (string, bool) {
	if len(r.remaining) == 0 {
		if r.round == maxRounds {
			return "", false
		}
		if r.round > 0 {
			r.client.addresses.expire()
			if pause(ctx, roundPause) != nil {
				return "", false
			}
		}
		r.round++
		r.remaining = r.client.rankedAddresses(ctx)
	}
	if len(r.remaining) == 0 {
		return "", false
	}
	url := r.remaining[0]
	r.remaining = r.remaining[1:]
	return url, true
}
