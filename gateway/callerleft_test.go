package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/routing"
)

// busyListener holds connections and what they carry back while the lock is held, as a
// process that gets no processor time does.
type busyListener struct {
	net.Listener
	busy *sync.RWMutex
}

func (l *busyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.busy.RLock()
	defer l.busy.RUnlock()
	return c, nil
}

// startBusy starts a gateway with a target of many slots, and holds its callers back
// until release is called.
func startBusy(t *testing.T, fake *fakeTarget) (g *instance, release func()) {
	return startBusyWith(t, config(), fake)
}

func startBusyWith(t *testing.T, cfg routing.Config, fake *fakeTarget) (g *instance, release func()) {
	var busy sync.RWMutex
	d := newDeployment(t, cfg)
	target := fake.target("b")
	target.Slots = 1000
	d.put("target/"+fake.id, target)
	d.wrapCallers = func(l net.Listener) net.Listener { return &busyListener{l, &busy} }
	g = d.start("g1")
	first := g.send(t.Context(), http.MethodGet, "/read/", http.Header{})
	require.Equal(t, http.StatusOK, first.status, "the target must be verified")
	fake.requests.Store(0)
	busy.Lock()
	return g, busy.Unlock
}

// dialCaller opens a connection and sends bytes on it.
func dialCaller(t *testing.T, g *instance, data string) *net.TCPConn {
	c, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, data)
	require.NoError(t, err)
	return c.(*net.TCPConn)
}

func rawRequest(method, path, id, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Deadline: 4s\r\nContent-Length: %d\r\n\r\n%s", method, path, id, len(body), body)
}

// callersOfKinds sends requests of each kind, with and without a body, many times: it
// depends on the order of goroutines whether the server sees the end in time.
func callersOfKinds(t *testing.T, g *instance) (conns []*net.TCPConn) {
	for i := range 10 {
		for _, path := range []string{"/book/", "/read/", "/chat/"} {
			conns = append(conns, dialCaller(t, g, rawRequest(http.MethodGet, path, fmt.Sprint(i, path), "")))
			conns = append(conns, dialCaller(t, g, rawRequest(http.MethodPost, path, fmt.Sprint(i, path), "body")))
		}
	}
	return conns
}

// Guards against requests that are sent to targets after their callers have left: a
// request and the end of its connection wait together for a process that gets no
// processor time.
func TestNothingIsSentForCallersThatLeftBeforeTheyWereRead(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"closes":             func(c *net.TCPConn) { _ = c.Close() },
		"resets":             func(c *net.TCPConn) { reset(c) },
		"closes for writing": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"sends more and closes": func(c *net.TCPConn) {
			_, _ = io.WriteString(c, rawRequest(http.MethodGet, "/read/", "next", ""))
			_ = c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			fake := startFakeTarget(t, "r", func(w net.Conn, r *http.Request) { writeResponse(w, r, "ok") })
			g, release := startBusy(t, fake)
			for _, c := range callersOfKinds(t, g) {
				leave(c)
			}
			stays := dialCaller(t, g, rawRequest(http.MethodGet, "/read/", "stays", ""))
			release()
			resp, err := http.ReadResponse(bufio.NewReader(stays), nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			time.Sleep(300 * time.Millisecond)
			require.EqualValues(t, 1, fake.requests.Load(), "only one caller was still there")
		})
	}
}

// Guards against an empty success for a caller that has closed only its writing side:
// net/http sends one if a handler returns without a response.
func TestCallerThatStillReadsGetsNoEmptySuccess(t *testing.T) {
	for _, path := range []string{"/book/", "/read/", "/chat/"} {
		t.Run(path, func(t *testing.T) {
			fake := startFakeTarget(t, "r", func(net.Conn, *http.Request) { time.Sleep(time.Second) })
			g := newDeployment(t, config(), fake).start("g1")
			c := dialCaller(t, g, rawRequest(http.MethodPost, path, "a", "body"))
			require.Eventually(t, func() bool { return fake.requests.Load() == 1 }, time.Second, time.Millisecond)
			require.NoError(t, c.CloseWrite())
			require.NoError(t, c.SetReadDeadline(time.Now().Add(2*time.Second)))
			received, err := io.ReadAll(c)
			require.NoError(t, err)
			require.Empty(t, string(received))
		})
	}
}

// Guards against work that goes on for a caller that has sent the begin of its next
// request and left: net/http stops to watch a connection once a byte has followed the
// request.
func TestTargetStopsWhenCallerLeavesBehindNextRequest(t *testing.T) {
	const noticeTime = 500 * time.Millisecond // within which the target must notice
	for _, path := range []string{"/book/", "/read/", "/chat/"} {
		for name, next := range map[string]string{"one byte": "G", "a whole request": rawRequest(http.MethodGet, "/read/", "next", "")} {
			t.Run(name+" "+path, func(t *testing.T) {
				fake := startFakeTarget(t, "r", func(net.Conn, *http.Request) {})
				g := newDeployment(t, config(), fake).start("g1")
				c := dialCaller(t, g, rawRequest(http.MethodPost, path, "a", "body"))
				require.Eventually(t, func() bool { return fake.requests.Load() == 1 }, time.Second, time.Millisecond)
				_, err := io.WriteString(c, next)
				require.NoError(t, err)
				time.Sleep(50 * time.Millisecond) // the server has read a byte of it
				require.NoError(t, c.Close())
				select {
				case <-fake.closed:
				case <-time.After(noticeTime):
					require.Fail(t, "the target still works on the request")
				}
			})
		}
	}
}
