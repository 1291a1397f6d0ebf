package service_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/engine/service"
	"github.com/skylarkstep/skylarkstep/engine/standin"
	"github.com/skylarkstep/skylarkstep/errkind"
)

// Guards against a call that may have executed but is reported as not_run, and
// against a fault that causes a second execution.
func TestCallContract(t *testing.T) {
	for _, tc := range []struct {
		name       string
		faults     standin.ServiceFaults
		status     int // zero for an error
		kind       errkind.Kind
		executions int // after all stalled calls have ended
	}{
		{"normal", standin.ServiceFaults{}, 200, 0, 1},
		{"latency", standin.ServiceFaults{Latency: time.Millisecond}, 200, 0, 1},
		{"status", standin.ServiceFaults{Status: 422}, 422, 0, 1},
		{"refuse", standin.ServiceFaults{Refuse: true}, 503, 0, 0},
		{"stall before", standin.ServiceFaults{StallBefore: 400 * time.Millisecond}, 0, errkind.DeadlineExceeded, 1},
		{"stall after", standin.ServiceFaults{StallAfter: 400 * time.Millisecond}, 0, errkind.DeadlineExceeded, 1},
		{"response dropped", standin.ServiceFaults{DropResponse: true}, 0, errkind.BackendFailed, 1},
	} {
		check := func(t *testing.T, s *standin.Service, c engine.Service, idempotent bool) {
			s.SetFaults(tc.faults)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			call := engine.Call{Operation: "book", Body: []byte(`{"id":"b1"}`), OperationID: "op1", Idempotent: idempotent}
			r, err := c.Call(ctx, call)
			require.Equal(t, tc.status, r.Status)
			require.Equal(t, tc.kind, errkind.KindOf(err))
			if err != nil {
				require.Equal(t, errkind.Unknown, errkind.From(err).DidRun)
			}
			if tc.status == http.StatusOK {
				require.JSONEq(t, string(call.Body), string(r.Body))
			}
			time.Sleep(2 * tc.faults.StallBefore)
			require.Equal(t, tc.executions, s.Executions())
			require.Equal(t, tc.executions, s.ByOperationID()["op1"])
			require.Equal(t, tc.executions, s.ByBodyID()["b1"])
		}
		for _, idempotent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/idempotent=%t/http", tc.name, idempotent), func(t *testing.T) {
				t.Parallel()
				s := standin.NewService(standin.ServiceOptions{})
				srv := httptest.NewServer(s)
				defer srv.Close()
				check(t, s, service.New(srv.URL), idempotent)
			})
			t.Run(fmt.Sprintf("%s/idempotent=%t/direct", tc.name, idempotent), func(t *testing.T) {
				t.Parallel()
				s := standin.NewService(standin.ServiceOptions{})
				check(t, s, s.Direct(), idempotent)
			})
		}
	}
}

// Guards against a dial failure that is reported as unknown. That would rule out a
// retry, although the call cannot have run.
func TestUnreachable(t *testing.T) {
	s := standin.NewService(standin.ServiceOptions{})
	s.SetFaults(standin.ServiceFaults{Unreachable: true})
	srv := httptest.NewServer(s)
	srv.Close()
	for _, c := range []engine.Service{service.New(srv.URL), s.Direct()} {
		_, err := c.Call(t.Context(), engine.Call{Operation: "book"})
		require.Equal(t, errkind.BackendUnreachable, errkind.KindOf(err))
		require.Equal(t, errkind.NotRun, errkind.From(err).DidRun)
	}
}

// Guards against a load report that the client cannot read.
func TestLoad(t *testing.T) {
	s := standin.NewService(standin.ServiceOptions{})
	srv := httptest.NewServer(s)
	defer srv.Close()
	for _, c := range []engine.Service{service.New(srv.URL), s.Direct()} {
		l, err := c.Load(t.Context())
		require.NoError(t, err)
		require.WithinDuration(t, time.Now(), l.MadeAt, time.Minute)
	}
}

// Guards against a response that uses up the memory of the process, and against a
// truncated body that is taken for a complete one.
func TestReplyBounds(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/short" {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "short")
			return
		}
		_, _ = io.WriteString(w, strings.Repeat("x", service.MaxResponseBytes+1))
	}))
	defer srv.Close()
	for _, op := range []string{"long", "short"} {
		_, err := service.New(srv.URL).Call(t.Context(), engine.Call{Operation: op})
		require.Equal(t, errkind.BackendFailed, errkind.KindOf(err), op)
		require.Equal(t, errkind.Unknown, errkind.From(err).DidRun, op)
	}
}

// Guards against an operation whose path leaves the service's base path.
func TestOperationPath(t *testing.T) {
	for _, op := range []string{"", "../admin", "a/../../b"} {
		_, err := service.New("http://127.0.0.1:1/base").Call(t.Context(), engine.Call{Operation: op})
		require.Equal(t, errkind.InvalidRequest, errkind.KindOf(err), op)
	}
}

// closingServer executes every call. On a reused connection, it then closes the
// connection without a response.
type closingServer struct {
	mu         sync.Mutex
	seen       map[string]bool
	executions map[string]int
}

func (s *closingServer) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.executions[string(body)]++
	reused := s.seen[r.RemoteAddr]
	s.seen[r.RemoteAddr] = true
	s.mu.Unlock()
	if reused {
		panic(http.ErrAbortHandler)
	}
}

// Guards against a non-idempotent call that Go's transport retries when the server
// closes a reused connection after the execution. The control case shows that this
// server provokes the retry.
func TestNonIdempotentRunsOnce(t *testing.T) {
	viaClient := func(url string) func(body string) {
		c := service.New(url)
		return func(body string) {
			_, err := c.Call(t.Context(), engine.Call{
				Operation: "book", Body: []byte(body), OperationID: "op-" + body,
				Header: http.Header{"Idempotency-Key": {body}},
			})
			require.NoError(t, err)
		}
	}
	viaPool := func(url string) func(body string) {
		c := &http.Client{Transport: &http.Transport{}}
		return func(body string) {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
			require.NoError(t, err)
			req.Header.Set("Idempotency-Key", body)
			res, err := c.Do(req)
			require.NoError(t, err)
			require.NoError(t, res.Body.Close())
		}
	}
	for _, tc := range []struct {
		name   string
		caller func(url string) func(body string)
		second int
	}{
		{"client", viaClient, 1},
		{"control: pooled transport with Idempotency-Key", viaPool, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &closingServer{seen: map[string]bool{}, executions: map[string]int{}}
			srv := httptest.NewServer(s)
			defer srv.Close()
			call := tc.caller(srv.URL)
			call("first")
			call("second")
			require.Equal(t, map[string]int{"first": 1, "second": tc.second}, s.executions)
		})
	}
}
