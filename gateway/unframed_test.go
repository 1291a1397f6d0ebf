package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// unframed returns a handler whose responses have neither a length nor chunks and
// end with their connection.
func unframed(body string, end func(net.Conn)) func(net.Conn, *http.Request) {
	return func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\n\r\n%s", r.Header.Get("X-Id"), body)
		end(w)
	}
}

func inOrder(w net.Conn) { _ = w.Close() }

// Guards against a response without a length that is taken for broken off when its
// connection ends, or for whole when its connection is reset.
func TestResponseWithoutLength(t *testing.T) {
	for _, c := range []struct {
		name   string
		end    func(net.Conn)
		status int
	}{{"ends", inOrder, http.StatusOK}, {"reset", reset, http.StatusBadGateway}} {
		t.Run(c.name, func(t *testing.T) {
			fake := startFakeTarget(t, "r", unframed("whole", c.end))
			g := newDeployment(t, config(), fake).start("g1")
			resp := g.request(t.Context(), http.MethodPost, "/book/1", "")
			require.Equal(t, c.status, resp.status)
			if c.status == http.StatusOK {
				require.Equal(t, "whole", resp.body)
			}
		})
	}
}

// Guards against a stream without a length that looks complete although it was
// broken off: inside an event, by a reset, or before its first event.
func TestStreamWithoutLength(t *testing.T) {
	const second = "id: 2\ndata: second\n\n"
	for _, c := range []struct {
		name, sent string
		end        func(net.Conn)
		resumed    bool
	}{
		{"complete", firstEvent + second, inOrder, false},
		{"ends inside an event", firstEvent + "id: 2\nda", inOrder, true},
		{"reset after an event", firstEvent, reset, true},
		{"ends before the first event", "", inOrder, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			rest := second
			if c.sent == "" {
				rest = firstEvent + second
			}
			g, bad, good := startBadAndGood(t, unframed(c.sent, c.end), rest)
			resp := g.request(t.Context(), http.MethodPost, "/chat/1", "")
			require.NoError(t, resp.err)
			require.Equal(t, firstEvent+second, resp.body)
			require.EqualValues(t, 1, bad.requests.Load())
			require.Equal(t, c.resumed, good.requests.Load() == 1)
		})
	}
}

// Guards against a response without a length that looks complete because its target
// crashed between two events, or before the whole body was sent: such a connection
// may end in order.
func TestResponseWithoutLengthOfCrashedTarget(t *testing.T) {
	const second = "id: 2\ndata: second\n\n"
	for path, body := range map[string]string{"/chat/1": firstEvent + second, "/read/1": "whole"} {
		t.Run(path, func(t *testing.T) {
			rest := map[string]string{"/chat/1": second, "/read/1": "whole"}[path]
			sent := map[string]string{"/chat/1": firstEvent, "/read/1": "wh"}[path]
			var listener net.Listener
			g, bad, good := startBadAndGood(t, func(w net.Conn, r *http.Request) {
				_ = listener.Close()
				unframed(sent, inOrder)(w, r)
			}, rest)
			listener = bad.listener
			resp := g.request(t.Context(), http.MethodPost, path, "")
			require.NoError(t, resp.err)
			require.Equal(t, body, resp.body)
			require.EqualValues(t, 1, good.requests.Load())
		})
	}
}
