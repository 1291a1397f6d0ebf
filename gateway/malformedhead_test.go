package gateway

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/infra/standin/malformed"
)

// malformedBody is the body of responses that must not reach a caller. Without the text
// it would be an event, which is also the body of a call.
const malformedBody = "id: 1\ndata: " + garbageText + "\n\n"

// malformedResponses are responses whose heads are not valid HTTP, by what is wrong.
func malformedResponses() map[string]string {
	responses := malformed.All("200 OK", "X-Id: ID\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n", malformedBody)
	maps.Copy(responses, malformed.Folded("200 OK", "X-Id: ID\r\nContent-Type: text/event-stream\r\nX-Seal: s\r\n", malformedBody))
	refusals := malformed.Statuses("X-Id: ID\r\nX-Not-Run: 1\r\n", "")
	maps.Copy(refusals, malformed.Folded("503 Full", "X-Id: ID\r\nX-Not-Run: 1\r\n", "full"))
	maps.Copy(refusals, malformed.Names("503 Full", "X-Id: ID\r\nX-Not-Run: 1\r\n", "full"))
	for name, refusal := range refusals {
		responses["refusal with "+name] = refusal
	}
	responses["blank in the name of an informational head"] = "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + sealedHead +
		fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(malformedBody), malformedBody)
	responses["folded line in an informational head"] = "HTTP/1.1 103 Early Hints\r\nX-Odd: 1\r\n 2\r\n\r\n" + sealedHead + "Content-Length: 7\r\n\r\n" + garbageText
	responses["blank in the name of the id"] = "HTTP/1.1 200 OK\r\nX-Id : ID\r\nX-Seal: s\r\nContent-Length: 7\r\n\r\n" + garbageText
	return responses
}

// respondOnce returns a handler that sends a response and keeps the connection open. ID
// in the response stands for the id of the request.
func respondOnce(response string) func(net.Conn, *http.Request) {
	return func(w net.Conn, r *http.Request) {
		_, _ = w.Write([]byte(strings.ReplaceAll(response, "ID", r.Header.Get("X-Id"))))
	}
}

// Guards against a response with a malformed head that a caller gets as an answer, or
// that counts as a refusal: the request may have run.
func TestMalformedHead(t *testing.T) {
	for name, response := range malformedResponses() {
		t.Run(name, func(t *testing.T) { t.Parallel(); requireFailureAtOnce(t, respondOnce(response)) })
	}
}

// Guards against the same on a connection that was used before.
func TestMalformedHeadOnKeptConnection(t *testing.T) {
	for name, response := range malformedResponses() {
		for _, path := range callKinds {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				faulty := secondRequestTarget(t, answerKind, respondOnce(response))
				g := newDeployment(t, patientConfig(), faulty).start("g1")
				require.Equal(t, http.StatusOK, g.request(t.Context(), http.MethodPost, path, "").status)
				resp := g.requestWithin(t.Context(), patientDeadline, http.MethodPost, path, "")
				require.NoError(t, resp.err)
				require.Equal(t, http.StatusBadGateway, resp.status, resp.body)
				require.NotContains(t, resp.body, garbageText)
				require.Empty(t, resp.header.Get("X-Seal"))
				faulty.requireClosed(t)
			})
		}
	}
}

// Guards against a malformed response to the continuation of a stream, whose text the
// caller would find among the events.
func TestContinuationWithMalformedHead(t *testing.T) {
	for name, response := range malformedResponses() {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s kept %t", name, kept), func(t *testing.T) {
				t.Parallel()
				resp := continueStream(t, firstEvent, response, kept)
				require.Error(t, resp.err, "the stream looks complete")
				require.Equal(t, firstEvent, resp.body)
			})
		}
	}
}

// Guards against a trailer with an odd name that reaches a caller, or that spoils the next
// response on the connection. The body before it is complete.
func TestOddTrailerIsNotPassedOn(t *testing.T) {
	for _, path := range callKinds {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			fake := startFakeTarget(t, "r", func(w net.Conn, r *http.Request) {
				_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX Odd: 1\r\n\r\n",
					r.Header.Get("X-Id"), len(goodEvent), goodEvent)
			})
			g := newDeployment(t, config(), fake).start("g1")
			for range 3 {
				resp := g.request(t.Context(), http.MethodPost, path, "")
				require.NoError(t, resp.err)
				require.Equal(t, http.StatusOK, resp.status, resp.body)
				require.Equal(t, goodEvent, resp.body)
				require.NotContains(t, fmt.Sprint(resp.header), "Odd")
			}
		})
	}
}
