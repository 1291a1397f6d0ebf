package gateway

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

// upload is a body that fills the buffers of a connection, so that it is still being sent
// while a target that does not read it responds.
var upload = strings.Repeat("u", 3<<20)

// startEarlyTarget starts a target that responds once it has read the head of a request,
// and then ends the connection. It does not read bodies.
func startEarlyTarget(t *testing.T, id string, respond func(w net.Conn, r *http.Request)) *fakeTarget {
	f := &fakeTarget{id: id}
	f.listener = early.Start(t, func(c *net.TCPConn, r *http.Request) {
		f.requests.Add(1)
		respond(c, r)
	})
	return f
}

// earlyReset responds with a part of a body without a length, and resets the connection
// after a time.
func earlyReset(status, part string, after time.Duration) func(net.Conn, *http.Request) {
	return func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 %s\r\nX-Id: %s\r\nX-Seal: s\r\n\r\n%s", status, r.Header.Get("X-Id"), part)
		time.Sleep(after)
		reset(w)
	}
}

func (i *instance) upload(t *testing.T, path string) response {
	return i.sendWithBody(t.Context(), http.MethodPost, path, http.Header{"X-Deadline": {"9s"}}, upload)
}

// earlyResetRepeats is how often each case is played: which goroutine learns of a reset
// first is a race.
const earlyResetRepeats = 30

// Guards against a part of a response that looks complete because its target, which had
// responded without a length before it had read a long upload, reset the connection: the
// kernel reports a reset once, and the write of the upload may get it, so that the read
// finds an ordinary end.
func TestEarlyResponseThatIsReset(t *testing.T) {
	for _, path := range []string{"/book/", "/swap/", "/read/", "/chat/"} {
		for _, after := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 30 * time.Millisecond} {
			for name, status := range map[string]string{"success": "200 OK", "failure": "404 Unknown"} {
				t.Run(fmt.Sprintf("%s %s after %v", path, name, after), func(t *testing.T) {
					t.Parallel()
					fake := startEarlyTarget(t, "r", earlyReset(status, firstEvent, after))
					g := newDeployment(t, config(), fake).start("g1")
					for n := range earlyResetRepeats {
						resp := g.upload(t, fmt.Sprint(path, n))
						if resp.err == nil && (resp.status == http.StatusOK || resp.status == http.StatusNotFound) {
							t.Fatalf("request %d: the part %q with status %d looks complete", n, resp.body, resp.status)
						}
					}
				})
			}
		}
	}
}

// Guards against the same where a response begins well and its first part, which is
// forwarded before the rest has arrived, is the largest that is buffered.
func TestEarlyLargeResponseThatIsReset(t *testing.T) {
	part := strings.Repeat("a", maxBufferedBytes+1)
	for _, after := range []time.Duration{0, 20 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			fake := startEarlyTarget(t, "r", earlyReset("200 OK", part, after))
			g := newDeployment(t, config(), fake).start("g1")
			for n := range earlyResetRepeats {
				resp := g.upload(t, fmt.Sprint("/book/", n))
				require.False(t, resp.err == nil && resp.status == http.StatusOK, "request %d: %d bytes look complete", n, len(resp.body))
			}
		})
	}
}

// Guards against a stream that looks complete because the target that continues it had
// responded before it had read the long upload, and reset the connection.
func TestEarlyContinuationThatIsReset(t *testing.T) {
	for _, after := range []time.Duration{0, 5 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			for range earlyResetRepeats { // one by one: each sends the upload twice
				requireNoEarlyContinuation(t, after)
			}
		})
	}
}

// requireNoEarlyContinuation plays a stream whose first target resets its connection after
// an event, and whose second one does so right after the next event.
func requireNoEarlyContinuation(t *testing.T, after time.Duration) {
	next := startEarlyTarget(t, "next", earlyReset("200 OK", "id: 2\ndata: second\n\n", after))
	var d *deployment
	var g *instance
	first := startFakeTarget(t, "first", func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\n\r\n%s", r.Header.Get("X-Id"), firstEvent)
		d.put("target/next", next.target("b"))
		for g.targetCount() < 2 {
			time.Sleep(time.Millisecond)
		}
		reset(w)
	})
	d = newDeployment(t, patientConfig(), first)
	g = d.start("g1")
	resp := g.upload(t, "/chat/1")
	require.Equal(t, http.StatusOK, resp.status, resp.body)
	require.Error(t, resp.err, "the stream looks complete: %q", resp.body)
	require.EqualValues(t, 1, next.requests.Load())
}

// Guards against a whole response that is taken for a part: its target has responded
// without a length, has closed its side, and reads the upload to its end, or not yet.
func TestEarlyResponseThatEnds(t *testing.T) {
	for name, rest := range map[string]func(net.Conn){
		"reads on":       func(w net.Conn) { _, _ = io.Copy(io.Discard, w) },
		"reads on later": func(w net.Conn) { time.Sleep(100 * time.Millisecond); _, _ = io.Copy(io.Discard, w) },
		"reads no more":  func(net.Conn) { time.Sleep(2 * time.Second) },
	} {
		for _, path := range []string{"/book/1", "/read/1", "/chat/1"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				fake := startEarlyTarget(t, "r", func(w net.Conn, r *http.Request) {
					_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\n\r\n%s", r.Header.Get("X-Id"), firstEvent)
					_ = w.(*net.TCPConn).CloseWrite()
					rest(w)
				})
				g := newDeployment(t, config(), fake).start("g1")
				start := time.Now()
				resp := g.upload(t, path)
				require.NoError(t, resp.err)
				require.Equal(t, http.StatusOK, resp.status, resp.body)
				require.Equal(t, firstEvent, resp.body)
				require.Less(t, time.Since(start), time.Second)
			})
		}
	}
}
