package httpclient

import (
	"net"
	"net/http"

	"github.com/skylarkstep/skylarkstep/infra/tcpend"
)

// MaxHeadBytes limits the head of a response in bytes, as the MaxResponseHeaderBytes of a
// transport. Heads are below 1 KB; the default of net/http is 10 MB.
const MaxHeadBytes = 64 << 10

// New returns a client that fails for responses that are not valid HTTP/1.1, and for those
// whose connection was reset. It returns redirects as they are: following one would send a
// call a second time, or take the response of another process.
func New(t http.RoundTripper) *http.Client {
	if transport, ok := t.(*http.Transport); ok {
		t = withResets(transport)
	}
	return &http.Client{
		Transport:     verifying{t},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// withResets returns a copy of a transport whose connections tell their reader of a reset.
func withResets(t *http.Transport) *http.Transport {
	t = t.Clone()
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = tcpend.Dial(dial)
	return t
}

// verifying is a transport that returns valid responses only.
type verifying struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (v verifying) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := v.RoundTripper.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	err = Verify(resp)
	if err == nil && !IsFinalStatus(resp.StatusCode) {
		err = ErrStatus // no request asks for another protocol
	}
	if err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections implements the method that http.Client looks for.
func (v verifying) CloseIdleConnections() {
	if c, ok := v.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
