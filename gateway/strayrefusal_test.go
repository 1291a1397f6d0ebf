package gateway

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Refusals that a target may write: all promise that a request has not run.
var refusalHeads = map[string]string{
	"503": "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n",
	"429": "HTTP/1.1 429 Slow\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n",
	"421": "HTTP/1.1 421 Other\r\nContent-Length: 4\r\n",
	"400": "HTTP/1.1 400 Bad\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n",
}

const refusalBody = "full"

// refusal returns a refusal, with the id of a request unless it is empty.
func refusal(head, id string) string {
	if id != "" {
		head += "X-Id: " + id + "\r\n"
	}
	return head + "\r\n" + refusalBody
}

// callKinds are paths of all kinds of routes.
var callKinds = []string{"/book/2", "/swap/2", "/read/2", "/chat/2"}

// secondRequestTarget answers the first request on a connection with first and
// each later one with second.
func secondRequestTarget(t *testing.T, first, second func(w net.Conn, r *http.Request)) *fakeTarget {
	var mu sync.Mutex
	seen := map[net.Conn]bool{}
	return startFakeTarget(t, "faulty", func(w net.Conn, r *http.Request) {
		mu.Lock()
		known := seen[w]
		seen[w] = true
		mu.Unlock()
		if known {
			second(w, r)
		} else {
			first(w, r)
		}
	})
}

// answerKind writes the response that the route of a request expects.
func answerKind(w net.Conn, r *http.Request) {
	if r.URL.Path[:5] == "/chat" {
		writeResponse(w, r, firstEvent)
		return
	}
	writeResponse(w, r, "ran")
}

// Guards against an earlier refusal that a target writes once more on a kept
// connection: the caller got the promise that its request had not run while the target ran
// it, or the request ran at a second target.
func TestRepeatedRefusalOnKeptConnection(t *testing.T) {
	for name, head := range refusalHeads {
		for _, id := range []string{"", "id-/book/1"} {
			for _, path := range callKinds {
				t.Run(fmt.Sprintf("%s id %q %s", name, id, path), func(t *testing.T) {
					t.Parallel()
					second := startFakeTarget(t, "second", answerKind)
					var d *deployment
					var g *instance
					faulty := secondRequestTarget(t, func(w net.Conn, _ *http.Request) {
						_, _ = w.Write([]byte(refusal(head, "id-/book/1")))
					}, func(w net.Conn, r *http.Request) {
						d.put("target/second", second.target("b"))
						for g.targetCount() < 2 {
							time.Sleep(time.Millisecond)
						}
						_, _ = w.Write([]byte(refusal(head, id)))
						time.Sleep(150 * time.Millisecond) // the target works on the request
						answerKind(w, r)
					})
					d = newDeployment(t, config(), faulty)
					g = d.start("g1")
					first := g.request(t.Context(), http.MethodPost, "/book/1", "")
					require.NoError(t, first.err)
					require.NotEqual(t, http.StatusOK, first.status)
					time.Sleep(unreachableTargetPause + 50*time.Millisecond)
					resp := g.request(t.Context(), http.MethodPost, path, "")
					require.NoError(t, resp.err)
					require.Equal(t, http.StatusOK, resp.status, resp.body)
					require.EqualValues(t, 2, faulty.requests.Load())
					require.Zero(t, second.requests.Load(), "the request ran at a second target")
				})
			}
		}
	}
}

// Guards against the same refusal without a response after it: the request may have
// run, so the caller must not get a promise that it has not, and it must not wait for
// its deadline.
func TestRepeatedRefusalWithoutResponse(t *testing.T) {
	for _, path := range []string{"/book/2", "/swap/2"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			head := refusalHeads["503"]
			faulty := secondRequestTarget(t, func(w net.Conn, r *http.Request) {
				_, _ = w.Write([]byte(refusal(head, r.Header.Get("X-Id"))))
			}, func(w net.Conn, _ *http.Request) { _, _ = w.Write([]byte(refusal(head, ""))) })
			g := newDeployment(t, patientConfig(), faulty).start("g1")
			_ = g.request(t.Context(), http.MethodPost, "/book/1", "")
			time.Sleep(refusedTargetPause + 50*time.Millisecond)
			startedAt := time.Now()
			resp := g.requestWithin(t.Context(), patientDeadline, http.MethodPost, path, "")
			require.NoError(t, resp.err)
			require.Equal(t, http.StatusBadGateway, resp.status, resp.body)
			require.Less(t, time.Since(startedAt), atOnce)
			require.EqualValues(t, 2, faulty.requests.Load())
		})
	}
}

// Guards against a refusal that is not believed although it can belong to no other
// request: on a fresh connection it is the first response.
func TestRefusalWithoutIDOnFreshConnection(t *testing.T) {
	for _, path := range callKinds {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			faulty := startFakeTarget(t, "faulty", func(w net.Conn, _ *http.Request) {
				_, _ = w.Write([]byte(refusal(refusalHeads["503"], "")))
			})
			g := newDeployment(t, config(), faulty).start("g1")
			resp := g.request(t.Context(), http.MethodPost, path, "")
			require.NoError(t, resp.err)
			require.Equal(t, http.StatusServiceUnavailable, resp.status, resp.body)
			require.NotEmpty(t, resp.header.Get("Retry-After"))
		})
	}
}

// Guards against a connection that is kept although bytes of a second refusal are
// already buffered: the next request would read them.
func TestRefusalTwiceAtOnce(t *testing.T) {
	for _, path := range callKinds {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			var refused sync.Once
			faulty := startFakeTarget(t, "faulty", func(w net.Conn, r *http.Request) {
				answer := true
				refused.Do(func() {
					answer = false
					_, _ = w.Write([]byte(refusal(refusalHeads["503"], "") + refusal(refusalHeads["503"], "")))
				})
				if answer {
					answerKind(w, r)
				}
			})
			g := newDeployment(t, config(), faulty).start("g1")
			_ = g.request(t.Context(), http.MethodPost, "/book/1", "")
			time.Sleep(refusedTargetPause + 50*time.Millisecond)
			resp := g.request(t.Context(), http.MethodPost, path, "")
			require.NoError(t, resp.err)
			require.Equal(t, http.StatusOK, resp.status, resp.body)
		})
	}
}
