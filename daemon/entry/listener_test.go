package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/daemon/httpapi"
	"github.com/skylarkstep/skylarkstep/engine/standin"
)

func httpRequest(path, header, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\n"+
		"X-Request-Id: req-7\r\n%sContent-Length: %d\r\n\r\n%s", path, testCustomer, header, len(body), body)
}

// Guards against a listener that accepts input of unlimited size, or rejects it
// without the kind of the error.
func TestInputOverTheLimits(t *testing.T) {
	big := `{"model":"pintor","prompt":"` + strings.Repeat("x", httpapi.MaxBodyBytes) + `"}`
	for name, tc := range map[string]struct {
		request string
		status  int
		kind    string
	}{
		"body of a completion": {httpRequest("/v1/completions", "", big), http.StatusRequestEntityTooLarge, "too_large"},
		"chunked body": {"POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + testCustomer +
			"\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n" +
			fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(big), big), http.StatusRequestEntityTooLarge, "too_large"},
		"header": {httpRequest("/v1/completions", "X-Long: "+strings.Repeat("x", httpapi.MaxHeaderBytes+4<<10)+"\r\n", "{}"),
			http.StatusRequestHeaderFieldsTooLarge, ""},
		"prompt that just fits": {httpRequest("/v1/completions", "", `{"model":"pintor","max_tokens":1,"prompt":"`+
			strings.Repeat("x", httpapi.MaxBodyBytes-100)+`"}`), http.StatusOK, "event: done"},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newFixture(t, "a")
				f.addModelTarget("a", standin.NewModel(standin.ModelOptions{}).Direct())
				f.start()
				conn, err := f.callerListener.dial()
				require.NoError(t, err)
				defer func() { _ = conn.Close() }()
				go func() { _, _ = io.WriteString(conn, tc.request) }()
				got := f.readResponse(conn, time.Now())
				assert.Equal(t, tc.status, got.status)
				assert.Contains(t, got.body, tc.kind)
			})
		})
	}
}

// Guards against a sender that occupies a connection by sending a byte at a
// time.
func TestSlowSendersAreEnded(t *testing.T) {
	whole := httpRequest("/v1/completions", "", strings.Repeat(" ", 1000)+"{}")
	header := strings.Index(whole, "\r\n\r\n") + 4
	for name, tc := range map[string]struct {
		slowFrom int // offset from which one byte is sent per second
		timeout  time.Duration
	}{
		"header": {0, 5 * time.Second},
		"body":   {header, 30 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newFixture(t)
				f.start()
				conn, err := f.callerListener.dial()
				require.NoError(t, err)
				go func() {
					_, _ = io.WriteString(conn, whole[:tc.slowFrom])
					for i := tc.slowFrom; i < len(whole); i++ {
						if _, err := io.WriteString(conn, whole[i:i+1]); err != nil {
							return
						}
						time.Sleep(time.Second)
					}
				}()
				start := time.Now()
				_, _ = io.Copy(io.Discard, conn)
				// The server waits for half a second before it closes the connection.
				assert.InDelta(t, tc.timeout.Seconds(), time.Since(start).Seconds(), 1)
			})
		})
	}
}

// Guards against a read deadline that remains set after the body was read: the
// server would take its expiry for a disconnected caller and cancel a long
// response.
func TestBodyDeadlineDoesNotEndLongAnswer(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFixture(t, "a")
		f.addModelTarget("a", standin.NewModel(standin.ModelOptions{TokenInterval: 2 * time.Second}).Direct())
		f.start()
		assert.Equal(t, wantStream(testTokens), f.complete(testTokens, testPrompt).body)
	})
}

// Guards against sessions of entries that are disturbed by garbage, or by a
// peer without the key, on the peer port of a target.
func TestGarbageOnPeerPort(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFixture(t, "a")
		f.addModelTarget("a", newModel().Direct())
		f.start()
		for _, data := range []string{"GET / HTTP/1.1\r\n\r\n" + strings.Repeat("\x00", 200), "\xff\xff\xff\xff\xff\xff", ""} {
			conn, err := f.targetListeners["a"].dial()
			require.NoError(t, err)
			go func() { _, _ = io.WriteString(conn, data) }()
			_, err = io.Copy(io.Discard, conn)
			assert.NoError(t, err, "the target must close the connection")
		}
		synctest.Wait()
		assert.Equal(t, wantStream(testTokens), f.complete(testTokens, testPrompt).body)
	})
}
