package openai_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/engine/openai"
	"github.com/skylarkstep/skylarkstep/engine/standin"
	"github.com/skylarkstep/skylarkstep/errkind"
)

// forEachClient runs f with the HTTP client and with the direct client of a new
// engine.
func forEachClient(t *testing.T, opts standin.ModelOptions, f func(*testing.T, *standin.Model, engine.Model)) {
	t.Run("http", func(t *testing.T) {
		m := standin.NewModel(opts)
		srv := httptest.NewServer(m)
		defer srv.Close()
		c := openai.New(srv.URL)
		defer c.Close()
		f(t, m, c)
	})
	t.Run("direct", func(t *testing.T) {
		m := standin.NewModel(opts)
		f(t, m, m.Direct())
	})
}

// generate returns all tokens of a generation.
func generate(ctx context.Context, m engine.Model, g engine.Generation) ([]engine.Token, engine.Finish, error) {
	var tokens []engine.Token
	finish, err := m.Generate(ctx, g, func(t engine.Token) error {
		tokens = append(tokens, t)
		return nil
	})
	return tokens, finish, err
}

// Guards against a lost, duplicate or reordered token in a complete or a resumed
// response, and against a wrong token count.
func TestGenerateAndResume(t *testing.T) {
	for _, tc := range []struct {
		name   string
		from   int
		max    int
		finish engine.Finish
	}{
		{"limited by MaxTokens", 0, 9, engine.Finish{Reason: "length", Tokens: 9}},
		{"natural end", 0, 0, engine.Finish{Reason: "stop", Tokens: 20}},
		{"resumed", 5, 9, engine.Finish{Reason: "length", Tokens: 9}},
		{"resumed to the natural end", 5, 0, engine.Finish{Reason: "stop", Tokens: 20}},
		{"resumed when nothing is missing", 9, 9, engine.Finish{Reason: "length", Tokens: 9}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			forEachClient(t, standin.ModelOptions{ResponseTokens: 20}, func(t *testing.T, _ *standin.Model, c engine.Model) {
				g := engine.Generation{Prompt: "a \"b\"\n", MaxTokens: tc.max, ResumeOffset: tc.from}
				tokens, finish, err := generate(t.Context(), c, g)
				require.NoError(t, err)
				require.Equal(t, tc.finish, finish)
				require.Len(t, tokens, finish.Tokens-tc.from)
				for i, tok := range tokens {
					require.Equal(t, engine.Token{Offset: tc.from + i, Text: standin.TokenText(g.Prompt, tc.from+i)}, tok)
				}
			})
		})
	}
}

// Guards against a fault that results in a shorter response or in a wrong error
// kind, which would make the caller retry a call that may have run.
func TestGenerateFaults(t *testing.T) {
	type want struct {
		kind       errkind.Kind
		didRun     errkind.DidRun
		tokens     int
		retryAfter bool
	}
	for _, tc := range []struct {
		name   string
		faults standin.ModelFaults
		want   want
	}{
		{"latency past the deadline", standin.ModelFaults{Latency: time.Hour}, want{errkind.DeadlineExceeded, errkind.Unknown, 0, false}},
		{"stall", standin.ModelFaults{StallAfter: 3}, want{errkind.DeadlineExceeded, errkind.Unknown, 3, false}},
		{"break", standin.ModelFaults{BreakAfter: 3}, want{errkind.BackendFailed, errkind.Unknown, 3, false}},
		{"clean break", standin.ModelFaults{BreakAfter: 3, BreakCleanly: true}, want{errkind.BackendFailed, errkind.Unknown, 3, false}},
		{"refuse", standin.ModelFaults{Refuse: true}, want{errkind.Overloaded, errkind.NotRun, 0, true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			forEachClient(t, standin.ModelOptions{}, func(t *testing.T, m *standin.Model, c engine.Model) {
				m.SetFaults(tc.faults)
				ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
				defer cancel()
				tokens, _, err := generate(ctx, c, engine.Generation{Prompt: "p", MaxTokens: 8})
				e := errkind.From(err)
				require.NotNil(t, e)
				require.Equal(t, tc.want, want{e.Kind, e.DidRun, len(tokens), e.RetryAfter > 0}, "%v", err)
				if tc.faults.StallAfter > 0 {
					require.Eventually(t, func() bool { return m.Counts().Cancelled == 1 }, 5*time.Second, time.Millisecond)
				}
			})
		})
	}
}

// Guards against a new connection for each generation, which happens if the body is
// not read to its end.
func TestConnectionReuse(t *testing.T) {
	var opened atomic.Int32
	m := standin.NewModel(standin.ModelOptions{})
	// The end of the body arrives in a separate packet after the end marker.
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.ServeHTTP(w, r)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(2 * time.Millisecond)
	}))
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	srv.Start()
	defer srv.Close()
	c := openai.New(srv.URL)
	for range 10 {
		_, _, err := generate(t.Context(), c, engine.Generation{Prompt: "p", MaxTokens: 3})
		require.NoError(t, err)
	}
	require.EqualValues(t, 1, opened.Load())
}

// Guards against a generation that keeps its slot after the caller cancelled it.
func TestGenerateCancel(t *testing.T) {
	errStop := errors.New("stop")
	for _, byEmit := range []bool{false, true} {
		forEachClient(t, standin.ModelOptions{TokenInterval: time.Millisecond}, func(t *testing.T, m *standin.Model, c engine.Model) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			_, err := c.Generate(ctx, engine.Generation{Prompt: "p"}, func(tok engine.Token) error {
				if tok.Offset == 2 && byEmit {
					return errStop
				}
				if tok.Offset == 2 {
					cancel()
				}
				return nil
			})
			if byEmit {
				require.ErrorIs(t, err, errStop)
			} else {
				require.Equal(t, errkind.Canceled, errkind.KindOf(err))
			}
			require.Eventually(t, func() bool { return m.Counts().Cancelled == 1 }, 5*time.Second, time.Millisecond)
		})
	}
}

// Guards against a warming engine that serves more requests than it can handle, and
// against a lost Retry-After.
func TestGenerateCold(t *testing.T) {
	for _, tc := range []struct {
		name        string
		failureTime time.Duration
		second      errkind.Kind
		first       errkind.Kind
	}{
		{"responds overwhelmed", 0, errkind.Cold, errkind.Unspecified},
		{"fails after an overload", time.Hour, errkind.BackendFailed, errkind.BackendFailed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			opts := standin.ModelOptions{WarmUpConcurrency: 1, OverloadFailureTime: tc.failureTime, WarmUp: time.Hour}
			forEachClient(t, opts, func(t *testing.T, m *standin.Model, c engine.Model) {
				m.RestartWarmUp()
				m.SetFaults(standin.ModelFaults{StallAfter: 1})
				var second error
				_, err := c.Generate(t.Context(), engine.Generation{Prompt: "p", MaxTokens: 3}, func(tok engine.Token) error {
					if tok.Offset == 0 {
						_, _, second = generate(t.Context(), c, engine.Generation{Prompt: "q", MaxTokens: 1})
						m.SetFaults(standin.ModelFaults{})
					}
					return nil
				})
				e := errkind.From(second)
				require.Equal(t, tc.second, e.Kind)
				require.Equal(t, tc.second == errkind.Cold, e.RetryAfter > 59*time.Minute)
				require.Equal(t, tc.first, errkind.KindOf(err))
			})
		})
	}
}

// Guards against a dial failure that is taken for a call that may have run.
func TestUnreachable(t *testing.T) {
	m := standin.NewModel(standin.ModelOptions{})
	m.SetFaults(standin.ModelFaults{Unreachable: true})
	srv := httptest.NewServer(m)
	reused := openai.New(srv.URL)
	_, err := reused.Load(t.Context())
	require.NoError(t, err)
	srv.Close()
	// The client may write to the idle connection before it notices the close. Then
	// the engine may have received the request, and not_run would be wrong.
	_, _, err = generate(t.Context(), reused, engine.Generation{Prompt: "p"})
	first := errkind.From(err)
	require.Contains(t, []errkind.Kind{errkind.BackendUnreachable, errkind.BackendFailed}, first.Kind)
	require.Equal(t, first.Kind == errkind.BackendUnreachable, first.DidRun == errkind.NotRun)
	for name, c := range map[string]engine.Model{"new": openai.New(srv.URL), "reused": reused, "direct": m.Direct()} {
		_, _, err := generate(t.Context(), c, engine.Generation{Prompt: "p"})
		require.Equal(t, errkind.BackendUnreachable, errkind.KindOf(err), "%s: %v", name, err)
		require.Equal(t, errkind.NotRun, errkind.From(err).DidRun, name)
	}
}

// Guards against a stand-in whose load reports ignore the configured lag.
func TestLoadLag(t *testing.T) {
	forEachClient(t, standin.ModelOptions{}, func(t *testing.T, m *standin.Model, c engine.Model) {
		m.SetFaults(standin.ModelFaults{StallAfter: 1})
		_, err := c.Generate(t.Context(), engine.Generation{Prompt: "p"}, func(engine.Token) error {
			now, err := c.Load(t.Context())
			require.NoError(t, err)
			require.Equal(t, 1, now.Running)
			m.SetLoadLag(time.Hour)
			old, err := c.Load(t.Context())
			require.NoError(t, err)
			require.Zero(t, old.Running)
			require.WithinDuration(t, time.Now().Add(-time.Hour), old.MadeAt, time.Minute)
			return errors.New("stop")
		})
		require.EqualError(t, err, "stop")
	})
}

// Guards against a gap in the cache events that the reader cannot detect, and
// against a cache that is lost between export and import.
func TestCache(t *testing.T) {
	forEachClient(t, standin.ModelOptions{CacheEntries: 1}, func(t *testing.T, m *standin.Model, c engine.Model) {
		gen := func(id, prompt string) {
			_, _, err := generate(t.Context(), c, engine.Generation{RequestID: id, Prompt: prompt, MaxTokens: 1})
			require.NoError(t, err)
		}
		gen("r1", "a")
		m.SkipCacheEvents(1)
		gen("r 2/x", "b")
		events, err := c.CacheEvents(t.Context(), 0)
		require.NoError(t, err)
		require.Equal(t, []engine.CacheEvent{{Sequence: 1, Prefix: "a"}, {Sequence: 3, Prefix: "a", Evicted: true}}, events)
		events, err = c.CacheEvents(t.Context(), 3)
		require.NoError(t, err)
		require.Empty(t, events)

		cache, err := c.ExportCache(t.Context(), "r 2/x")
		require.NoError(t, err)
		require.NoError(t, c.ImportCache(t.Context(), "r3", cache))
		_, err = c.ExportCache(t.Context(), "r3")
		require.NoError(t, err)
		_, err = c.ExportCache(t.Context(), "absent")
		require.Equal(t, errkind.InvalidRequest, errkind.KindOf(err))
	})
}

// Guards against an order of an earlier lease holder that is accepted by an engine
// that checks fencing numbers, or whose refusal is lost.
func TestOrderFencing(t *testing.T) {
	for _, check := range []bool{true, false} {
		forEachClient(t, standin.ModelOptions{CheckFencing: check}, func(t *testing.T, m *standin.Model, c engine.Model) {
			require.NoError(t, c.Order(t.Context(), engine.Order{Fencing: 7, Kind: engine.OrderLoadModel, Name: "a"}))
			err := c.Order(t.Context(), engine.Order{Fencing: 6, Kind: engine.OrderLoadModel, Name: "b"})
			if check {
				require.Equal(t, errkind.Fenced, errkind.KindOf(err))
				require.Len(t, m.Orders(), 1)
			} else {
				require.NoError(t, err)
				require.Len(t, m.Orders(), 2)
			}
		})
	}
}
