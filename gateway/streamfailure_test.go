package gateway

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/gateway/upstream"
)

// Guards against an error response to a stream that is replaced by an error of
// the gateway because its connection was closed before the body was read.
func TestStreamReturnsErrorResponse(t *testing.T) {
	fake := startFakeTarget(t, "r", func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 500 Failed\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\n", r.Header.Get("X-Id"))
		time.Sleep(30 * time.Millisecond)
		_, _ = w.Write([]byte("sorry"))
	})
	cfg := config()
	cfg.Routes[3].MaxAttempts = 1
	g := newDeployment(t, cfg, fake).start("g1")
	resp := g.request(t.Context(), http.MethodPost, "/chat/1", "")
	require.NoError(t, resp.err)
	require.Equal(t, http.StatusInternalServerError, resp.status, resp.body)
	require.Equal(t, "sorry", resp.body)
	require.Equal(t, "s", resp.header.Get("X-Seal"))
}

// Guards against an error response to a stream that is replaced by an error of
// the gateway if the second attempt gets no target.
func TestStreamReturnsErrorResponseWithoutSecondTarget(t *testing.T) {
	fake := startFakeTarget(t, "r", func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 500 Failed\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nsorry", r.Header.Get("X-Id"))
	})
	g := newDeployment(t, config(), fake).start("g1")
	for _, path := range []string{"/read/1", "/chat/1"} {
		resp := g.request(t.Context(), http.MethodPost, path, "")
		require.NoError(t, resp.err)
		require.Equal(t, http.StatusInternalServerError, resp.status, path+resp.body)
		require.Equal(t, "sorry", resp.body)
	}
}

// Guards against a response that arrives just as its attempt is cancelled, since it has
// stalled and another target goes on with the stream, and then counts as a success: it carries an error, and its connection
// is closed.
func TestResponseDuringStallCheck(t *testing.T) {
	for name, c := range map[string]struct {
		head string
		want verdict
	}{
		"success": {"HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\n\r\n", lost},
		"failure": {"HTTP/1.1 500 Failed\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nsorry", lost},
		"refusal": {"HTTP/1.1 503 Full\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", refused},
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			fake := startFakeTarget(t, "r", func(w net.Conn, r *http.Request) {
				<-release
				_, _ = fmt.Fprintf(w, c.head, r.Header.Get("X-Id"))
			})
			g := newDeployment(t, config(), fake).start("g1")
			req := httptest.NewRequest(http.MethodGet, "/chat/1", nil)
			req.Header.Set("X-Id", "1")
			x := &exchange{g: g.Gateway, r: req, w: httptest.NewRecorder(), backend: "b", route: &config().Routes[3], meta: RequestMeta{ID: "1"}, deadline: time.Now().Add(5 * time.Second)}
			target := g.target("r")
			// Another target goes on with the stream. The function that cancels the
			// attempt has the response sent instead.
			other := &streamHedge{attempt: &streamAttempt{response: make(chan attemptResult, 1)}}
			other.attempt.response <- attemptResult{verdict: succeeded, resp: &upstream.Response{Response: &http.Response{StatusCode: http.StatusOK}}}
			s := &streamExchange{exchange: x, pendingHedge: other}
			a := &streamAttempt{ctx: t.Context(), cancel: func() { close(release) }, target: target, sentAt: time.Now(), response: make(chan attemptResult, 1)}
			go func() { a.response <- x.send(t.Context(), target, "") }()
			res := s.awaitResponse(a)
			require.Equal(t, c.want, res.verdict)
			require.Error(t, res.err)
			if c.want == lost {
				fake.requireClosed(t)
			}
		})
	}
}

// Guards against a target's response without events to a stream, such as a 404,
// that is taken for an interrupted stream and sent to another target.
func TestStreamReturnsClientError(t *testing.T) {
	fake := startFakeTarget(t, "r", func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 404 Unknown\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 17\r\n\r\n{\"unknown\":\"doc\"}", r.Header.Get("X-Id"))
	})
	g := newDeployment(t, config(), fake).start("g1")
	resp := g.request(t.Context(), http.MethodPost, "/chat/1", "")
	require.NoError(t, resp.err)
	require.Equal(t, http.StatusNotFound, resp.status, resp.body)
	require.Equal(t, `{"unknown":"doc"}`, resp.body)
	require.Equal(t, "s", resp.header.Get("X-Seal"))
	require.EqualValues(t, 1, fake.requests.Load())
}

// Guards against the same response after the first events, which cannot be
// returned any more: the stream must not look complete.
func TestClientErrorAfterEvents(t *testing.T) {
	notFound := func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 404 Unknown\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
	}
	other := startFakeTarget(t, "other", notFound)
	var d *deployment
	first := startFakeTarget(t, "first", func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\n\r\n%s", r.Header.Get("X-Id"), firstEvent)
		d.put("target/other", other.target("b"))
		time.Sleep(100 * time.Millisecond)
		reset(w)
	})
	d = newDeployment(t, config(), first)
	g := d.start("g1")
	resp := g.request(t.Context(), http.MethodPost, "/chat/1", "")
	require.Error(t, resp.err)
	require.Equal(t, firstEvent, resp.body)
	require.EqualValues(t, 1, other.requests.Load())
}
