package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// truncatedHeads are all beginnings of the head of a response that would be complete.
func truncatedHeads(id string) []string {
	head := "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 120\r\n\r\n"
	var cuts []string
	for i := range len(head) {
		cuts = append(cuts, head[:i])
	}
	return cuts
}

// Guards against a head that ends in its middle and is taken for a complete one: the
// caller got an empty or short body that looked whole. Each cut is played on a fresh
// connection and, after a complete response, on a kept one.
func TestHeadEndsInItsMiddle(t *testing.T) {
	for _, path := range callKinds {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s kept %t", path, kept), func(t *testing.T) {
				t.Parallel()
				var head string
				cut := func(w net.Conn, _ *http.Request) {
					_, _ = w.Write([]byte(head))
					_ = w.Close()
				}
				first := cut
				if kept {
					first = answerKind
				}
				faulty := secondRequestTarget(t, first, cut)
				g := newDeployment(t, config(), faulty).start("g1")
				for _, head = range truncatedHeads("id-" + path) {
					if kept {
						require.Equal(t, http.StatusOK, g.request(t.Context(), http.MethodPost, path, "").status)
					}
					resp := g.request(t.Context(), http.MethodPost, path, "")
					require.NoError(t, resp.err, "after %d bytes", len(head))
					require.NotEqual(t, http.StatusOK, resp.status, "after %d bytes: %q", len(head), resp.body)
					require.Empty(t, resp.header.Get("X-Seal"), "after %d bytes", len(head))
					if g.target("faulty").currentFailureRate() > 0 {
						g.target("faulty").resetFailures()
					}
				}
			})
		}
	}
}

// resetFailures makes the target get requests again at once.
func (t *targetState) resetFailures() {
	t.mu.Lock()
	t.failureRate, t.pausedUntil = 0, time.Time{}
	t.mu.Unlock()
	t.refusedAt.Store(0)
}
