package upstream

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// maxTestBytes ends a stand-in whose connection is not closed.
const maxTestBytes = 4 << 20

// sendForever discards what is sent to the connection, and writes a prefix and
// then a unit again and again until the other side closes the connection. It
// returns the number of bytes that were read from it.
func sendForever(c net.Conn, prefix, unit string, pause time.Duration) int {
	defer func() { _ = c.Close() }()
	go func() { _, _ = io.Copy(io.Discard, c) }()
	sent, err := c.Write([]byte(prefix))
	for err == nil && sent < maxTestBytes {
		var n int
		n, err = c.Write([]byte(unit))
		sent += n
		time.Sleep(pause)
	}
	return sent
}

// Guards against a head without end that is buffered completely: the process
// would exceed its memory limit.
func TestHeadIsLimited(t *testing.T) {
	block := strings.Repeat("A", 1<<10)
	for _, c := range []struct{ name, prefix, unit string }{
		{"status line", "HTTP/1.1 200 ", block},
		{"status line without a blank", "", block},
		{"header line", "HTTP/1.1 200 OK\r\nX-Long: ", block},
		{"headers", "HTTP/1.1 200 OK\r\n", "X-Many: " + block + "\r\n"},
		{"continued header line", "HTTP/1.1 200 OK\r\nX-Long: a\r\n", " " + block + "\r\n"},
		{"head of an informational response", "HTTP/1.1 103 Early Hints\r\n", "X-Many: " + block + "\r\n"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nX-Long: " + block + "\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ours, theirs := net.Pipe()
				sent := make(chan int)
				go func() { sent <- sendForever(theirs, c.prefix, c.unit, 0) }()
				conn := newConn(ours)
				_, _, err := conn.roundTrip(&Request{Method: http.MethodGet, Target: "/", Host: "h"})
				require.Error(t, err)
				require.NotContains(t, err.Error(), "AAAA")
				require.NoError(t, conn.Close())
				require.LessOrEqual(t, <-sent, maxHeadBytes+readBufferSize)
			})
		})
	}
}

// Guards against a head that arrives byte by byte, which held a request until
// its deadline.
func TestHeadTimeout(t *testing.T) {
	for _, prefix := range []string{"H", "HTTP/1.1 200 OK\r\nX-Long: ", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 "} {
		synctest.Test(t, func(t *testing.T) {
			ours, theirs := net.Pipe()
			sent := make(chan int)
			go func() {
				time.Sleep(10 * time.Second) // a target may take long before it responds
				sent <- sendForever(theirs, prefix, "A", 10*time.Millisecond)
			}()
			start := time.Now()
			conn := newConn(ours)
			_, _, err := conn.roundTrip(&Request{Method: http.MethodGet, Target: "/", Host: "h"})
			require.Error(t, err)
			require.Equal(t, 10*time.Second+headTimeout, time.Since(start))
			require.NoError(t, conn.Close())
			<-sent
		})
	}
}

// Guards against a response to another request whose body does not end, which
// would hold the request in progress until its deadline.
func TestStrayResponseWithoutEnd(t *testing.T) {
	for name, pause := range map[string]time.Duration{"fast": 0, "slow": 10 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ours, theirs := net.Pipe()
				sent := make(chan int)
				go func() {
					sent <- sendForever(theirs, "HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n", strings.Repeat("A", 1<<10), pause)
				}()
				start := time.Now()
				conn := newConn(ours)
				_, _, err := conn.roundTrip(&Request{Method: http.MethodGet, Target: "/", Host: "h", Attribute: func(int, http.Header, bool) Attribution { return Foreign }})
				require.ErrorContains(t, err, "another request")
				require.LessOrEqual(t, time.Since(start), strayTimeout)
				require.NoError(t, conn.Close())
				require.LessOrEqual(t, <-sent, maxStrayBytes+maxHeadBytes)
			})
		})
	}
}

// Guards against an interim response that is taken for the final one.
func TestInformationalResponsesAreSkipped(t *testing.T) {
	ours, theirs := net.Pipe()
	go func() {
		go func() { _, _ = io.Copy(io.Discard, theirs) }()
		_, _ = io.WriteString(theirs, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}()
	resp, _, err := newConn(ours).roundTrip(&Request{Method: http.MethodGet, Target: "/", Host: "h"})
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "ok", string(body))
	require.NoError(t, ours.Close())
}

// Guards against a folded line that is found or not depending on how the bytes arrive, and
// against a sound response that is refused because of lines of its body.
func TestFoldedLineHoweverItArrives(t *testing.T) {
	const (
		plain  = "HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 8\r\n\r\n a: 1\n b"
		folded = "HTTP/1.1 200 OK\r\nX-A: 1\r\n 2\r\nContent-Length: 2\r\n\r\nok"
		early  = "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n"
	)
	for _, c := range []struct {
		sent  string
		stray bool // the first response belongs to another request
		want  error
	}{
		{plain, false, nil},
		{early + plain, false, nil},
		{plain + plain, true, nil},
		{strings.ReplaceAll(plain, "\r\n", "\n"), false, nil},
		{folded, false, errFolded},
		{early + folded, false, errFolded},
		{plain + folded, true, errFolded},
		{folded + plain, true, errFolded},
		{strings.ReplaceAll(folded, "\r\n", "\n"), false, errFolded},
	} {
		for size := 1; size <= len(c.sent); size++ {
			err := receive(t, c.sent, size, c.stray)
			require.ErrorIs(t, err, c.want, "%q in parts of %d", c.sent, size)
		}
	}
}

// receive makes a request to a target that sends its response in parts of a size.
func receive(t *testing.T, sent string, size int, stray bool) error {
	ours, theirs := net.Pipe()
	defer func() { _ = ours.Close() }()
	go func() { _, _ = io.Copy(io.Discard, theirs) }()
	go func() {
		for part := range slices.Chunk([]byte(sent), size) {
			_, _ = theirs.Write(part)
		}
	}()
	responses := 0
	attribute := func(int, http.Header, bool) Attribution {
		if responses++; stray && responses == 1 {
			return Foreign
		}
		return Own
	}
	resp, _, err := newConn(ours).roundTrip(&Request{Method: http.MethodGet, Target: "/", Host: "h", Attribute: attribute})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, " a: 1\n b", string(body))
	return nil
}
