package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const failureText = "FAILURE: out of memory"

// Answers of a target that was asked to continue a stream and cannot.
var failedContinuations = map[string]string{
	"500 with a length":           "HTTP/1.1 500 Failed\r\nX-Id: ID\r\nX-Seal: s\r\nContent-Length: 22\r\n\r\n" + failureText,
	"500 in chunks":               "HTTP/1.1 500 Failed\r\nX-Id: ID\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n16\r\n" + failureText + "\r\n0\r\n\r\n",
	"500 until the end":           "HTTP/1.1 500 Failed\r\nX-Id: ID\r\nX-Seal: s\r\n\r\n" + failureText,
	"500 like an event":           "HTTP/1.1 500 Failed\r\nX-Id: ID\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n\r\nid: 9\ndata: " + failureText + "\n\n",
	"502 without a seal":          "HTTP/1.1 502 Failed\r\nX-Id: ID\r\nContent-Length: 22\r\n\r\n" + failureText,
	"503 that ran":                "HTTP/1.1 503 Failed\r\nX-Id: ID\r\nX-Seal: s\r\nContent-Length: 22\r\n\r\n" + failureText,
	"503 that has not run":        "HTTP/1.1 503 Full\r\nX-Id: ID\r\nX-Not-Run: 1\r\nContent-Length: 22\r\n\r\n" + failureText,
	"429 that has not run":        "HTTP/1.1 429 Slow\r\nX-Id: ID\r\nX-Not-Run: 1\r\nContent-Length: 22\r\n\r\n" + failureText,
	"404":                         "HTTP/1.1 404 Unknown\r\nX-Id: ID\r\nX-Seal: s\r\nContent-Length: 22\r\n\r\n" + failureText,
	"302":                         "HTTP/1.1 302 Found\r\nX-Id: ID\r\nX-Seal: s\r\nLocation: /x\r\nContent-Length: 22\r\n\r\n" + failureText,
	"200 with text":               "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Seal: s\r\nContent-Length: 22\r\n\r\n" + failureText,
	"200 with text and a blank":   "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Seal: s\r\nContent-Type: text/plain\r\nContent-Length: 24\r\n\r\n" + failureText + "\n\n",
	"200 with JSON":               "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Seal: s\r\nContent-Type: application/json\r\n\r\n{\"error\": \"" + failureText + "\"}\n\n",
	"200 without a seal":          "HTTP/1.1 200 OK\r\nX-Id: ID\r\n\r\nid: 9\ndata: " + failureText + "\n\n",
	"200 with a head as its body": "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Seal: s\r\n\r\nHTTP/1.1 500 Failed\r\nX-Seal: s\r\n\r\n" + failureText,
	"no HTTP":                     failureText + "\r\n\r\n",
	"head of 500 that ends":       "HTTP/1.1 500 Failed\r\nX-Id: ID\r\nX-Se",
	"nothing":                     "",
}

// brokenStreams are beginnings of a stream that breaks off after its first event or in
// the middle of its second.
var brokenStreams = map[string]string{
	"after an event": firstEvent,
	"in an event":    firstEvent + "id: 2\ndata: be",
	"in a line":      firstEvent + "id",
}

// Guards against a stream that breaks off and is continued with the error of the next
// target: the caller found its text, or its head, among the events, or the stream
// looked complete. Each error comes on a fresh connection and on a kept one.
func TestContinuationWithError(t *testing.T) {
	for name, answer := range failedContinuations {
		for where, beginning := range brokenStreams {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %s kept %t", name, where, kept), func(t *testing.T) {
					t.Parallel()
					resp := continueStream(t, beginning, answer, kept)
					require.Error(t, resp.err, "the stream looks complete")
					require.Equal(t, http.StatusOK, resp.status)
					require.Equal(t, firstEvent, resp.body)
				})
			}
		}
	}
}

// continueStream plays a stream that breaks off after a beginning, and returns what its
// caller gets if the next target gives the answer.
func continueStream(t *testing.T, beginning, answer string, kept bool) response {
	fail := func(w net.Conn, r *http.Request) {
		_, _ = w.Write([]byte(strings.ReplaceAll(answer, "ID", r.Header.Get("X-Id"))))
		_ = w.Close()
	}
	next := startFakeTarget(t, "next", fail)
	if kept {
		next = secondRequestTarget(t, answerKind, fail)
	}
	var d *deployment
	var g *instance
	first := startFakeTarget(t, "first", func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Type: text/event-stream; charset=utf-8\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", r.Header.Get("X-Id"), len(beginning), beginning)
		d.put("target/"+next.id, next.target("b"))
		for g.targetCount() < 2 {
			time.Sleep(time.Millisecond)
		}
		reset(w)
	})
	d = newDeployment(t, config())
	if kept {
		d.put("target/"+next.id, next.target("b"))
	} else {
		d.put("target/first", first.target("b"))
	}
	g = d.start("g1")
	if kept {
		require.Equal(t, http.StatusOK, g.request(t.Context(), http.MethodPost, "/read/1", "").status)
		// The stream must begin at the other target.
		g.target(next.id).pauseUntil(time.Now().Add(300 * time.Millisecond))
		d.put("target/first", first.target("b"))
		require.Eventually(t, func() bool { return g.targetCount() == 2 }, time.Second, time.Millisecond)
	}
	return g.request(t.Context(), http.MethodPost, "/chat/1", "")
}

// Guards against a continuation that is refused because the parameters of its content
// type differ, or because it is the only one that has a type.
func TestContinuationWithOtherParameters(t *testing.T) {
	rest := "id: 2\ndata: second\n\n"
	for _, contentType := range []string{"text/event-stream", "Text/Event-Stream; charset=UTF-8"} {
		resp := continueStream(t, firstEvent, fmt.Sprintf(
			"HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Seal: s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", contentType, len(rest), rest), false)
		require.NoError(t, resp.err)
		require.Equal(t, firstEvent+rest, resp.body)
	}
}
