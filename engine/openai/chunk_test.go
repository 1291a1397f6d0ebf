package openai

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/errkind"
)

const (
	plainToken   = `data: {"choices":[{"text":"x","index":0,"finish_reason":null}]}` + "\n\n"
	finishFormat = `data: {"choices":[{"text":"","finish_reason":"stop"}],"usage":{"completion_tokens":%d}}` + "\n\n"
	doneEvent    = "data: [DONE]\n\n"
)

func tokenEvent(offset int) string {
	return fmt.Sprintf(`data: {"choices":[{"text":"x"}],"skylark":{"offset":%d}}`+"\n\n", offset)
}

func finishEvent(usage int) string { return fmt.Sprintf(finishFormat, usage) }

// Guards against a truncated, damaged or misaligned stream that is taken for a
// complete response.
func TestReadStream(t *testing.T) {
	for _, tc := range []struct {
		name   string
		from   int
		body   string
		tokens int
		ok     bool
	}{
		{"counted by the client", 0, plainToken + plainToken + finishEvent(2) + doneEvent, 2, true},
		{"offsets", 0, tokenEvent(0) + tokenEvent(1) + finishEvent(2) + doneEvent, 2, true},
		{"usage in a separate chunk", 0, tokenEvent(0) + `data: {"choices":[{"text":"","finish_reason":"stop"}]}` + "\n\n" +
			`data: {"choices":[],"usage":{"completion_tokens":1}}` + "\n\n" + doneEvent, 1, true},
		{"comment and CRLF", 0, ": ping\r\n\r\n" + strings.ReplaceAll(tokenEvent(0)+finishEvent(1)+doneEvent, "\n", "\r\n"), 1, true},
		{"engine repeats from the start", 2, tokenEvent(0) + tokenEvent(1) + tokenEvent(2) + finishEvent(3) + doneEvent, 1, true},
		{"no end marker", 0, tokenEvent(0) + finishEvent(1), 1, false},
		{"no finish", 0, tokenEvent(0) + doneEvent, 1, false},
		{"end marker truncated", 0, tokenEvent(0) + finishEvent(1) + "data: [DONE]", 1, false},
		{"empty body", 0, "", 0, false},
		{"gap", 0, tokenEvent(0) + tokenEvent(2) + finishEvent(2) + doneEvent, 1, false},
		{"negative offset", 0, tokenEvent(-1) + finishEvent(1) + doneEvent, 0, false},
		{"fewer tokens than reported as usage", 0, tokenEvent(0) + finishEvent(2) + doneEvent, 1, false},
		{"ends before the resume offset", 3, tokenEvent(0) + tokenEvent(1) + finishEvent(2) + doneEvent, 0, false},
		{"resumed without offsets", 1, plainToken + finishEvent(1) + doneEvent, 0, false},
		{"token after the finish", 0, tokenEvent(0) + finishEvent(1) + tokenEvent(1) + doneEvent, 1, false},
		{"error event", 0, tokenEvent(0) + `data: {"error":{"message":"out of memory"}}` + "\n\n" + doneEvent, 1, false},
		{"not JSON", 0, "data: {\"choices\n\n" + doneEvent, 0, false},
		{"event too long", 0, `data: {"choices":[{"text":"` + strings.Repeat("x", maxEventBytes) + "\"}]}\n\n" + doneEvent, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tokens := 0
			f, err := readStream(t.Context(), strings.NewReader(tc.body), tc.from, func(engine.Token) error {
				tokens++
				return nil
			})
			require.Equal(t, tc.tokens, tokens)
			if tc.ok {
				require.NoError(t, err)
				require.Equal(t, engine.Finish{Reason: "stop", Tokens: tc.from + tokens}, f)
				return
			}
			require.Equal(t, errkind.BackendFailed, errkind.KindOf(err), "%v", err)
		})
	}
}

// Guards against a refusal whose Retry-After is lost, or that is taken for a call
// that may have run.
func TestStatusErrors(t *testing.T) {
	for _, tc := range []struct {
		status     int
		header     string
		value      string
		body       string
		kind       errkind.Kind
		didRun     errkind.DidRun
		retryAfter time.Duration
	}{
		{429, "Retry-After", "2", "", errkind.Overloaded, errkind.NotRun, 2 * time.Second},
		{503, "Retry-After-Ms", "250", "busy", errkind.Overloaded, errkind.NotRun, 250 * time.Millisecond},
		{503, "Retry-After", "-1", `{"error":{"code":"overwhelmed"}}`, errkind.Cold, errkind.NotRun, 0},
		{400, "", "", "", errkind.InvalidRequest, errkind.NotRun, 0},
		{409, "", "", "", errkind.Fenced, errkind.NotRun, 0},
		{307, "Location", "/v1/completions", "", errkind.BackendFailed, errkind.Unknown, 0},
		{500, "", "", "", errkind.BackendFailed, errkind.Unknown, 0},
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(tc.header, tc.value)
			w.WriteHeader(tc.status)
			_, _ = w.Write([]byte(tc.body))
		}))
		_, err := New(srv.URL).Generate(t.Context(), engine.Generation{}, nil)
		srv.Close()
		e := errkind.From(err)
		require.Equal(t, tc.kind, e.Kind, "%d %v", tc.status, err)
		require.Equal(t, tc.didRun, e.DidRun)
		require.Equal(t, tc.retryAfter, e.RetryAfter)
	}
}

// Guards against an error response whose text is lost because it is not JSON, such
// as that of a proxy, and against a text that floods the log.
func TestTextOfStatusErrors(t *testing.T) {
	for _, c := range []struct{ body, want string }{
		{`{"error":{"message":"no such model"}}`, "status 500: no such model"},
		{`{"error":"x"}`, `status 500: "x"`},
		{"upstream connect error\n", `status 500: "upstream connect error"`},
		{`{"detail":"y"}`, `status 500: "{\"detail\":\"y\"}"`},
		{"\x00\n\xff", `status 500: "\x00\n\xff"`},
		{"", `status 500: ""`},
		{strings.Repeat("z", 1<<20), "zzz\" (4096 bytes or more)"},
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = w.Write([]byte(c.body))
		}))
		_, err := New(srv.URL).Generate(t.Context(), engine.Generation{}, nil)
		srv.Close()
		require.ErrorContains(t, err, c.want)
		require.Less(t, len(err.Error()), 1<<10)
	}
}

// Guards against a panic on a damaged stream, against offsets out of order, and
// against a finish without the end marker.
func FuzzReadStream(f *testing.F) {
	f.Add(tokenEvent(0)+tokenEvent(1)+finishEvent(2)+doneEvent, 0)
	f.Add(tokenEvent(0)+tokenEvent(1)+finishEvent(2)+doneEvent, 1)
	f.Add(plainToken+finishEvent(1)+doneEvent, 0)
	f.Add("data: {\"error\":1}\n\n", 0)
	f.Fuzz(func(t *testing.T, body string, from int) {
		from = max(0, from)
		next := from
		fin, err := readStream(context.Background(), strings.NewReader(body), from, func(tok engine.Token) error {
			require.Equal(t, next, tok.Offset)
			next++
			return nil
		})
		if err != nil {
			require.Equal(t, errkind.BackendFailed, errkind.KindOf(err))
			return
		}
		require.Equal(t, next, fin.Tokens)
		require.NotEmpty(t, fin.Reason)
		require.Contains(t, body, doneMarker)
	})
}

func BenchmarkReadStream(b *testing.B) {
	const tokens = 1000
	var sb strings.Builder
	for i := range tokens {
		sb.WriteString(tokenEvent(i))
	}
	sb.WriteString(finishEvent(tokens) + doneEvent)
	body := sb.String()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := readStream(b.Context(), strings.NewReader(body), 0, func(engine.Token) error { return nil }); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
}
