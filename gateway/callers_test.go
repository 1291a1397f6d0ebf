package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/routing"
)

// dialCallers opens a connection as a caller does.
func (i *instance) dialCallers(t *testing.T) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(i.url, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(3*time.Second)))
	return conn, bufio.NewReader(conn)
}

func sendRequest(t *testing.T, conn net.Conn, r *bufio.Reader, header string) (status int, err error) {
	_, err = fmt.Fprintf(conn, "GET /read/1 HTTP/1.1\r\nHost: h\r\nX-Id: i\r\nX-Deadline: 1s\r\n%s\r\n", header)
	require.NoError(t, err)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// Guards against limits of the configuration that are not applied to callers,
// and against a change of limits that closes the connections of callers.
func TestLimitsOfConfiguration(t *testing.T) {
	r := startFakeTarget(t, "r", func(w net.Conn, req *http.Request) { writeResponse(w, req, "") })
	d := newDeployment(t, config(), r)
	g := d.start("g1")
	before, beforeReader := g.dialCallers(t)
	status, err := sendRequest(t, before, beforeReader, "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)

	next := config()
	next.Version = 2
	next.Limits.MaxHeaderBytes, next.Limits.IdleTimeout, next.Limits.HeaderTimeout = 2000, 300*time.Millisecond, 200*time.Millisecond
	d.put("config", next)
	require.Eventually(t, func() bool { return g.snapshot.Load().table.Config.Version == 2 }, time.Second, time.Millisecond)

	conn, reader := g.dialCallers(t)
	status, err = sendRequest(t, conn, reader, "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	time.Sleep(next.Limits.IdleTimeout * 4 / 5)
	status, err = sendRequest(t, conn, reader, "")
	require.NoError(t, err, "the connection was closed before its idle timeout")
	require.Equal(t, http.StatusOK, status)
	_, err = reader.ReadByte()
	require.Error(t, err, "the connection was not closed after its idle timeout")

	conn, reader = g.dialCallers(t)
	status, err = sendRequest(t, conn, reader, "X-Long: "+strings.Repeat("x", 8000)+"\r\n")
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status)

	conn, reader = g.dialCallers(t)
	start := time.Now()
	_, err = fmt.Fprint(conn, "GET /read/1 HTTP/1.1\r\n")
	require.NoError(t, err)
	_, _ = reader.ReadByte()
	require.Less(t, time.Since(start), time.Second, "the header timeout was not applied")

	status, err = sendRequest(t, before, beforeReader, "")
	require.NoError(t, err, "a connection from before the change was closed")
	require.Equal(t, http.StatusOK, status)
}

// Guards against connections that are lost while limits change, and against
// servers of earlier limits that are kept forever.
func TestLimitsChangeOften(t *testing.T) {
	r := startFakeTarget(t, "r", func(w net.Conn, req *http.Request) { writeResponse(w, req, "") })
	d := newDeployment(t, config(), r)
	g := d.start("g1")
	g.target("r").recordResponse(time.Now(), time.Now())
	first := g.callers.current
	changesDone := make(chan struct{})
	go func() {
		defer close(changesDone)
		for i := range 200 {
			g.callers.setLimits(routing.Limits{IdleTimeout: time.Second + time.Duration(i)})
			time.Sleep(time.Millisecond)
		}
	}()
	requests := 0
	for changing := true; changing; requests++ {
		a := g.request(t.Context(), http.MethodGet, "/read/1", "")
		require.NoError(t, a.err)
		require.Equal(t, http.StatusOK, a.status)
		select {
		case <-changesDone:
			changing = false
		default:
		}
	}
	require.Greater(t, requests, 20)
	select {
	case <-first.listener.closed:
	default:
		require.Fail(t, "the server of the first limits still accepts connections")
	}
	limits := routing.Limits{IdleTimeout: time.Minute}
	require.Eventually(t, func() bool {
		limits.IdleTimeout++
		g.callers.setLimits(limits)
		g.callers.mu.Lock()
		defer g.callers.mu.Unlock()
		return len(g.callers.draining) == 0
	}, 2*time.Second, 10*time.Millisecond)
}
