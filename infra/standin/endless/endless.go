package endless

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// Garbage occurs in the bytes that belong to no response.
	Garbage = "GARBAGE"
	// maxFlood is the number of bytes after which a fast script becomes slow, so
	// that a client without a limit does not use up the memory.
	maxFlood = 64 << 20
	// floodUnit is the size of one write of a fast script in bytes.
	floodUnit  = 64 << 10
	slowPause  = 20 * time.Millisecond
	closeLimit = 5 * time.Second // on a loaded machine
	// allocFactor and allocBase limit the memory that is allocated while a number of
	// bytes is read: a buffer that grows is copied several times.
	allocFactor = 8
	allocBase   = 16 << 20
)

// Script describes a response: Prefix once, then Unit again and again.
type Script struct {
	Prefix, Unit string
	// Slow makes the server pause after each unit.
	Slow bool
}

// Heads returns scripts whose status line and headers never end.
func Heads() map[string]Script {
	const start = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	return map[string]Script{
		"no HTTP":                         {"", Garbage, false},
		"no HTTP, slowly":                 {"", Garbage, true},
		"status line":                     {"HTTP/1.1 200 ", Garbage, false},
		"status line, slowly":             {"HTTP/1.1 200 ", "G", true},
		"header line":                     {start + "X-Garbage: ", Garbage, false},
		"header line, slowly":             {start + "X-Garbage: ", "G", true},
		"headers":                         {start, "X-Garbage: " + Garbage + "\r\n", false},
		"headers, slowly":                 {start, "X-Garbage: " + Garbage + "\r\n", true},
		"informational responses":         {"", "HTTP/1.1 102 Processing\r\n\r\n", false},
		"informational responses, slowly": {"", "HTTP/1.1 102 Processing\r\n\r\n", true},
	}
}

// Bodies returns scripts with a complete head that ends in the given status line
// and headers, and with a body that begins as specified and never ends.
func Bodies(head, begin string) map[string]Script {
	head = "HTTP/1.1 " + head + "\r\n"
	block := strings.Repeat(Garbage, floodUnit/len(Garbage))
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	return map[string]Script{
		"body":                         {head + "\r\n" + begin, " ", false},
		"body, slowly":                 {head + "\r\n" + begin, " ", true},
		"body of garbage":              {head + "\r\n" + begin, Garbage, false},
		"body shorter than its length": {head + "Content-Length: 100000000000\r\n\r\n" + begin, "a", false},
		"chunks":                       {chunked, fmt.Sprintf("%x\r\n%s\r\n", len(block), block), false},
		"chunks, slowly":               {chunked, "7\r\n" + Garbage + "\r\n", true},
		"chunk size":                   {chunked, "0000000", false},
		"chunk extension":              {chunked + "7;", Garbage, false},
		"trailers":                     {chunked + "0\r\n", "X-Garbage: " + Garbage + "\r\n", false},
		"trailers, slowly":             {chunked + "0\r\n", "X-Garbage: " + Garbage + "\r\n", true},
	}
}

// Server is a running stand-in.
type Server struct {
	// URL is the base URL, and Addr its host and port.
	URL, Addr      string
	script         Script
	listener       net.Listener
	requests, open atomic.Int64
}

// Start starts a server that follows the script until the test ends.
func Start(t testing.TB, script Script) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &Server{URL: "http://" + l.Addr().String(), Addr: l.Addr().String(), script: script, listener: l}
	go s.serve()
	t.Cleanup(func() { _ = l.Close() })
	return s
}

func (s *Server) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			s.respond(c)
		}()
	}
}

// respond reads one request and sends the response until the client closes the
// connection.
func (s *Server) respond(c net.Conn) {
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	// A connection without a request, which a client may keep for later, is not
	// counted.
	s.open.Add(1)
	defer s.open.Add(-1)
	_, _ = io.Copy(io.Discard, req.Body)
	s.requests.Add(1)
	unit := []byte(s.script.Unit)
	if !s.script.Slow {
		unit = bytes.Repeat(unit, max(1, floodUnit/len(unit)))
	}
	n, err := c.Write([]byte(s.script.Prefix))
	for sent := n; err == nil; sent += n {
		if s.script.Slow || sent > maxFlood {
			time.Sleep(slowPause)
		}
		n, err = c.Write(unit)
	}
}

// Requests returns the number of requests that were received.
func (s *Server) Requests() int64 { return s.requests.Load() }

// RequireClosed fails the test if the client does not close its connections soon.
func (s *Server) RequireClosed(t testing.TB) {
	t.Helper()
	require.Eventually(t, func() bool { return s.open.Load() == 0 }, closeLimit, time.Millisecond, "a connection is still open")
}

// RequireLimited calls f, which reads the response of a server that follows the
// script. It fails the test if more memory is allocated than reading limit bytes
// takes. The test must not run in parallel with others, unless the script is slow:
// nothing is measured then.
func RequireLimited(t testing.TB, script Script, limit int64, f func()) {
	t.Helper()
	if script.Slow {
		f()
		return
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	require.LessOrEqual(t, after.TotalAlloc-before.TotalAlloc, uint64(allocFactor*limit+allocBase), "allocated bytes")
}
