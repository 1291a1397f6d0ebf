package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// answerSlack is how long after the timeout of its route a request must have its final
// response.
const answerSlack = 500 * time.Millisecond

// Guards against a request without a final response after the timeout of its route,
// because its caller uploads the body slowly or stops to.
func TestUploadEndsAtTimeoutOfRoute(t *testing.T) {
	cfg := config()
	for i := range cfg.Routes {
		cfg.Routes[i].Timeout = time.Second
	}
	for _, path := range []string{"/book/", "/read/", "/chat/"} {
		for name, pause := range map[string]time.Duration{"slow": 50 * time.Millisecond, "stopped": time.Hour} {
			t.Run(name+" "+path, func(t *testing.T) {
				t.Parallel()
				fake := startFakeTarget(t, "r", func(w net.Conn, r *http.Request) { writeResponse(w, r, "ok") })
				g := newDeployment(t, cfg, fake).start("g1")
				c := dialCaller(t, g, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nX-Deadline: 4s\r\nContent-Length: 1000\r\n\r\nx", path))
				go func() {
					for range 200 {
						time.Sleep(pause)
						if _, err := io.WriteString(c, "x"); err != nil {
							return
						}
					}
				}()
				require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Second+answerSlack)))
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				require.NoError(t, err, "no response in time")
				require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
				require.Zero(t, fake.requests.Load(), "the status says that it has not run")
			})
		}
	}
}

// Guards against a time that starts only when the process gets to read a request: it
// would be served for as long again, and its caller gets no response in time.
func TestTimeoutCountsFromArrival(t *testing.T) {
	cfg := config()
	for i := range cfg.Routes {
		cfg.Routes[i].Timeout = time.Second
	}
	const unread = 700 * time.Millisecond
	fake := startFakeTarget(t, "r", func(w net.Conn, r *http.Request) {
		if r.Header.Get("X-Id") == "id-/read/" { // the request that verifies the target
			writeResponse(w, r, "ok")
		}
	})
	g, release := startBusyWith(t, cfg, fake)
	var callers []*net.TCPConn
	for _, path := range []string{"/book/", "/read/", "/chat/"} {
		callers = append(callers, dialCaller(t, g, rawRequest(http.MethodPost, path, "a", "body")))
	}
	end := time.Now().Add(time.Second + answerSlack)
	time.Sleep(unread)
	release()
	for _, c := range callers {
		require.NoError(t, c.SetReadDeadline(end))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err, "no response in time")
		require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
	}
}
