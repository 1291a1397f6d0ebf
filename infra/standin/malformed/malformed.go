// Package malformed is a stand-in for an HTTP server in trouble. Its responses are
// complete and look like others, but their heads are not valid HTTP/1.1.
package malformed

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// Statuses returns responses with a status that is not one, by what is wrong with it.
// fields are lines of the head, each with its line break.
func Statuses(fields, body string) map[string]string {
	responses := map[string]string{}
	for name, status := range map[string]string{
		"status 000":                  "000 OK",
		"status 000 without a reason": "000",
		"status 099":                  "099 OK",
		"status with a sign":          "-00 OK",
		"status 600":                  "600 OK",
		"status 999":                  "999 OK",
	} {
		responses[name] = withLength(status, fields, body)
	}
	return responses
}

// Names returns responses in whose head the name of a field is not one, by what is wrong
// with it.
func Names(status, fields, body string) map[string]string {
	responses := map[string]string{}
	for name, line := range map[string]string{
		"blank inside a name":       "X Odd: 1\r\n",
		"blank before a colon":      "X-Odd : 1\r\n",
		"blank in a second name":    "X-Even: 1\r\nX-Odd  : 1\r\n",
		"tab before a colon":        "X-Odd\t: 1\r\n",
		"control byte in a name":    "X-\x01Odd: 1\r\n",
		"carriage return in a name": "X-\rOdd: 1\r\n",
		"zero byte in a name":       "X-Odd\x00: 1\r\n",
		"delete byte in a name":     "X-\x7fOdd: 1\r\n",
		"vertical tab in a name":    "X-\x0bOdd: 1\r\n",
		"empty name":                ": 1\r\n",
	} {
		responses[name] = withLength(status, fields+line, body)
	}
	head := fmt.Sprintf("HTTP/1.1 %s\r\n%s", status, fields)
	responses["blank in the name of the length"] = fmt.Sprintf("%sContent-Length : %d\r\n\r\n%s", head, len(body), body)
	responses["blank in the name of the coding"] = fmt.Sprintf("%sTransfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	return responses
}

// Folded returns responses with a line of the head that begins with a blank, so that it
// continues the value before it, by what it hides.
func Folded(status, fields, body string) map[string]string {
	head := fmt.Sprintf("HTTP/1.1 %s\r\n%s", status, fields)
	return map[string]string{
		"folded field":            withLength(status, fields+" X-Odd: 1\r\n", body),
		"folded field, tab":       withLength(status, fields+"\tX-Odd: 1\r\n", body),
		"folded text":             withLength(status, fields+"  more\r\n", body),
		"folded line of a blank":  withLength(status, fields+" \r\n", body),
		"folded, other line ends": withLength(status, fields+"X-Odd: 1\n 2\n", body),
		"folded length":           fmt.Sprintf("%s Content-Length: %d\r\n\r\n%s", head, len(body), body),
		"folded coding":           fmt.Sprintf("%s Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body),
	}
}

// All returns the responses of Statuses and Names.
func All(status, fields, body string) map[string]string {
	all := Statuses(fields, body)
	maps.Copy(all, Names(status, fields, body))
	return all
}

// withLength returns a response whose body has a length.
func withLength(status, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
}

// Handler answers each request with the response and closes the connection.
func Handler(response string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, response)
		_ = conn.Close()
	})
}

// Server is a running stand-in.
type Server struct {
	// URL is the base URL, and Addr its host and port.
	URL, Addr string
	requests  atomic.Int64
}

// Start starts a server that answers each request with the response and closes the
// connection, until the test ends.
func Start(t testing.TB, response string) *Server {
	t.Helper()
	s := &Server{}
	handler := Handler(response)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	s.URL, s.Addr = server.URL, server.Listener.Addr().String()
	return s
}

// Requests returns the number of requests that were received.
func (s *Server) Requests() int64 { return s.requests.Load() }
