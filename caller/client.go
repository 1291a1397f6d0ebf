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
	"github.com/skylarkstep/skylarkstep/infra/httpclient"
)

// Limits and timeouts of a Client.
const (
	dialTimeout         = 2 * time.Second
	maxIdleConnsPerHost = 64
	idleConnTimeout     = 30 * time.Second
	// maxRounds limits how often all addresses are tried without progress.
	maxRounds = 3
	// roundPause is the pause after a round in which every address failed. Jitter
	// adds up to a quarter of it.
	roundPause = 200 * time.Millisecond
	// noDataTimeout ends a generation attempt when the entry sends nothing for this
	// long. An entry responds after at most 3 attempts of 10 s each.
	noDataTimeout = 35 * time.Second
	// maxErrorBytes limits the body of an error.
	maxErrorBytes = 64 << 10
)

// Options are the options of a Client.
type Options struct {
	// Entries are base URLs of entries to fetch the first address list from, such as
	// "http://192.0.2.1:8080".
	Entries []string
	// Key is the bearer key of the customer.
	Key string
	// Transport replaces the HTTP transport of the client, unless it is nil.
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
		// HTTP/2 is disabled because its transport retries requests by itself.
		protocols := new(http.Protocols)
		protocols.SetHTTP1(true)
		o.Transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
			Protocols:           protocols,

			MaxResponseHeaderBytes: httpclient.MaxHeadBytes,
		}
	}
	return &Client{options: o, http: httpclient.New(o.Transport)}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// send sends one request to one address. If no connection was established, the
// error has DidRun set to NotRun.
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
	// Without GetBody the transport does not retry a request by itself.
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

// readError reads the error from a response whose status is not 200.
func readError(res *http.Response) *ResponseError {
	defer func() { _ = res.Body.Close() }()
	body, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	return decodeError(res.StatusCode, res.Header, body)
}

// pause waits for d plus a jitter of up to a quarter. It returns an error when ctx
// ends, and at once if its deadline is earlier than the end of the pause.
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

// addressRounds iterates over the addresses, in up to maxRounds rounds.
type addressRounds struct {
	client    *Client
	round     int      // number of the current round, from 1
	remaining []string // addresses not yet tried in this round
}

// next returns the address for the next attempt. After each round it pauses and
// fetches the address list again. It returns false after the last round, or when
// ctx ends before the pause does.
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
