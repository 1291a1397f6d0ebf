package httpclient

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/infra/standin/early"
)

// resetRepeats is how often the case is played: who learns of a reset first is a race.
const resetRepeats = 200

// serveEarly starts a server that responds with a body without a length once it has read
// the head of a request, and then ends the connection.
func serveEarly(t *testing.T, end func(*net.TCPConn)) (url string) {
	l := early.Start(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\npart")
		end(c)
	})
	return "http://" + l.Addr().String()
}

// post sends a long upload and reads the response.
func post(t *testing.T, c *http.Client, url string) (string, error) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(strings.Repeat("u", 3<<20)))
	require.NoError(t, err)
	resp, err := c.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against a part of a response without a length that looks complete because its
// connection was reset while the request was still being written.
func TestEarlyResponseThatIsReset(t *testing.T) {
	for _, after := range []time.Duration{0, time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			url := serveEarly(t, func(c *net.TCPConn) {
				time.Sleep(after)
				early.Reset(c)
			})
			c := New(&http.Transport{})
			defer c.CloseIdleConnections()
			complete := 0
			for range resetRepeats {
				if _, err := post(t, c, url); err == nil {
					complete++
				}
			}
			require.Zero(t, complete, "parts look complete")
		})
	}
}

// Guards against a whole response that is taken for a part because its server has only
// closed its side and still reads the request.
func TestEarlyResponseThatEnds(t *testing.T) {
	url := serveEarly(t, func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	})
	c := New(&http.Transport{})
	defer c.CloseIdleConnections()
	for range resetRepeats / 10 {
		body, err := post(t, c, url)
		require.NoError(t, err)
		require.Equal(t, "part", body)
	}
}
