package entry

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/daemon/httpapi"
	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/engine/standin"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/timeline"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

const testTokens = 40

func sha256Hex(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

func newReader(r io.Reader) *bufio.Reader { return bufio.NewReader(r) }

func newModel() *standin.Model {
	return standin.NewModel(standin.ModelOptions{TokenInterval: 50 * time.Millisecond})
}

// sendNothing is a target that reads a dispatch and sends nothing until the
// entry abandons it.
func sendNothing(st *wire.Stream, _ *wirepb.Dispatch) { _ = st.Recv(&wirepb.Cancel{}) }

// Guards against tokens that are lost or repeated when an engine breaks or
// stalls in the middle of a stream, and against work that continues at that
// engine after the stream has moved to another target.
func TestStreamContinuesAtAnotherTarget(t *testing.T) {
	for name, tc := range map[string]struct {
		faults standin.ModelFaults
		wait   time.Duration
	}{
		"break after one token":    {standin.ModelFaults{BreakAfter: 1}, 0},
		"break before the last":    {standin.ModelFaults{BreakAfter: testTokens - 1}, 0},
		"stall after one token":    {standin.ModelFaults{StallAfter: 1}, progressTimeout},
		"stall before the last":    {standin.ModelFaults{StallAfter: testTokens - 1}, progressTimeout},
		"refusal before the first": {standin.ModelFaults{Refuse: true}, 0},
		"unreachable engine":       {standin.ModelFaults{Unreachable: true}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newFixture(t, "a", "b")
				a, b := newModel(), newModel()
				a.SetFaults(tc.faults)
				f.addModelTarget("a", a.Direct())
				f.addModelTarget("b", b.Direct())
				f.start()
				got := f.complete(testTokens, testPrompt)
				assert.Equal(t, wantStream(testTokens), got.body)
				assert.Less(t, got.took, tc.wait+testTokens*100*time.Millisecond)
				synctest.Wait()
				c := a.Counts()
				assert.Equal(t, c.Started, c.Cancelled+c.Failed, "work continues at the engine: %+v", c)
				assert.Equal(t, 1, b.Counts().Completed)
			})
		})
	}
}

// Guards against a long response that is taken for a stalled one. It lasts 39
// times the timeout between two tokens.
func TestLongAnswerIsNotStalled(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFixture(t, "a")
		m := standin.NewModel(standin.ModelOptions{
			FirstTokenDelay: firstTokenTimeout - time.Millisecond, TokenInterval: progressTimeout - time.Millisecond,
		})
		f.addModelTarget("a", m.Direct())
		f.start()
		got := f.complete(testTokens, testPrompt)
		assert.Equal(t, wantStream(testTokens), got.body)
		assert.Equal(t, standin.ModelCounts{Started: 1, Completed: 1}, m.Counts())
	})
}

// Guards against a request that waits for its deadline of an hour because a
// target sends nothing after a dispatch, or nothing after it has accepted.
func TestWaitsBeforeTheFirstTokenAreBounded(t *testing.T) {
	for name, tc := range map[string]struct {
		script targetScript
		wait   time.Duration
	}{
		"no frame":            {sendNothing, firstFrameTimeout},
		"accepted, no tokens": {func(st *wire.Stream, d *wirepb.Dispatch) { _ = st.Send(acceptedFrame()); sendNothing(st, d) }, firstTokenTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newFixture(t, "a", "b")
				f.addScriptedTarget("a", tc.script)
				f.addModelTarget("b", standin.NewModel(standin.ModelOptions{}).Direct())
				f.start()
				got := f.complete(testTokens, testPrompt)
				assert.Equal(t, wantStream(testTokens), got.body)
				assert.Equal(t, tc.wait, got.took)
			})
		})
	}
}

// Guards against a dispatch larger than the stream window that blocks on a
// target which has stopped reading from its connection.
func TestDispatchToTargetThatReadsNothing(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFixture(t, "a", "b")
		release := make(chan struct{})
		t.Cleanup(func() { close(release) })
		f.addUnreadTarget("a", release)
		f.addModelTarget("b", standin.NewModel(standin.ModelOptions{}).Direct())
		f.start()
		got := f.complete(1, strings.Repeat("x", 2*testStreamWindow))
		assert.Contains(t, got.body, "event: done")
		assert.Less(t, got.took, 5*time.Second)
	})
}

// addUnreadTarget adds a target that accepts streams and never reads from them.
func (f *fixture) addUnreadTarget(name string, release chan struct{}) {
	near, far := net.Pipe()
	go func() {
		s, err := wire.Server(far, testKey, &wirepb.Hello{Instance: name})
		if !assert.NoError(f.t, err) {
			return
		}
		st, err := s.Accept()
		if err != nil {
			return
		}
		<-release
		_ = st.Close()
	}()
	f.addSession(name, near)
}

// Guards against a wrong response because a target skips or repeats tokens,
// ends too early, or continues to send on the stream of an abandoned attempt.
func TestFramesThatDoNotFit(t *testing.T) {
	correct := func(i int) string { return standin.TokenText(testPrompt, i) }
	send := func(st *wire.Stream, frames ...*wirepb.Frame) {
		for _, f := range frames {
			_ = st.Send(f)
		}
	}
	for name, script := range map[string]targetScript{
		"gap": func(st *wire.Stream, d *wirepb.Dispatch) {
			send(st, tokenFrame(0, correct(0)), tokenFrame(2, "wrong"))
			sendNothing(st, d)
		},
		"short end": func(st *wire.Stream, _ *wirepb.Dispatch) { send(st, tokenFrame(0, correct(0)), endFrame(testTokens)) },
		"repeats": func(st *wire.Stream, _ *wirepb.Dispatch) {
			send(st, tokenFrame(0, correct(0), correct(1)), tokenFrame(0, "wrong", "wrong", correct(2)))
		},
		"no configuration yet": func(st *wire.Stream, _ *wirepb.Dispatch) {
			send(st, &wirepb.Frame{Body: &wirepb.Frame_Failure{Failure: &wirepb.Failure{Kind: uint32(errkind.NotReady)}}})
		},
		"end frame missing": func(st *wire.Stream, _ *wirepb.Dispatch) { send(st, acceptedFrame(), tokenFrame(0, correct(0))) },
		"late frames": func(st *wire.Stream, d *wirepb.Dispatch) {
			send(st, tokenFrame(0, correct(0)))
			sendNothing(st, d)
			for i := range testTokens {
				send(st, tokenFrame(i, "wrong"))
			}
			send(st, endFrame(testTokens))
		},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newFixture(t, "a", "b")
				f.addScriptedTarget("a", script)
				f.addModelTarget("b", newModel().Direct())
				f.start()
				got := f.complete(testTokens, testPrompt)
				assert.Equal(t, wantStream(testTokens), got.body)
				if name != "late frames" {
					assert.Less(t, got.took, progressTimeout, "the error was detected only by the stall timeout")
				}
			})
		})
	}
}

// Guards against a stream that ends without an error event, and against a
// failed request whose error response is delayed. Every final error must have
// its kind, the caller's request id and a retry-after time.
func TestAnswerOfRequestThatIsGivenUp(t *testing.T) {
	for name, tc := range map[string]struct {
		targets []string
		faults  standin.ModelFaults
		kind    string
		tokens  int
		wait    time.Duration
	}{
		"broken":      {[]string{"a"}, standin.ModelFaults{BreakAfter: 3}, "back_end_failed", 3, 0},
		"stalled":     {[]string{"a"}, standin.ModelFaults{StallAfter: 3}, "stalled", 3, progressTimeout},
		"all broken":  {[]string{"a", "b"}, standin.ModelFaults{BreakAfter: 3}, "back_end_failed", 3 * maxStreamAttempts, 0},
		"refused":     {[]string{"a", "b"}, standin.ModelFaults{Refuse: true}, "overloaded", 0, 0},
		"unreachable": {[]string{"a", "b"}, standin.ModelFaults{Unreachable: true}, "back_end_unreachable", 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newFixture(t, tc.targets...)
				for _, name := range tc.targets {
					m := standin.NewModel(standin.ModelOptions{})
					m.SetFaults(tc.faults)
					f.addModelTarget(name, m.Direct())
				}
				f.start()
				got := f.complete(testTokens, testPrompt)
				assert.Equal(t, tc.tokens, strings.Count(got.body, `"offset":`))
				assert.Equal(t, tc.wait, got.took)
				_, last, event := strings.Cut(got.body, "event: error\ndata: ")
				if !event {
					last = got.body
				}
				assert.Equal(t, tc.tokens > 0, event, "an error after tokens is an event: %s", got.body)
				assert.Equal(t, !event, got.status >= 400)
				var a httpapi.ErrorResponse
				require.NoError(t, json.Unmarshal([]byte(last), &a), "%s", last)
				assert.Equal(t, tc.kind, a.Kind)
				assert.Equal(t, "req-7", a.RequestID)
				assert.Positive(t, a.RetryAfterMs)
			})
		})
	}
}

// Guards against "not_run" in the final error of a request that has run: the
// target that generated a part of it fails, and the next one refuses the rest.
func TestErrorAfterTokensIsNotNotRun(t *testing.T) {
	refuse := func(st *wire.Stream, _ *wirepb.Dispatch) {
		_ = st.Send(&wirepb.Frame{Body: &wirepb.Frame_Failure{Failure: &wirepb.Failure{
			Kind: uint32(errkind.Leaving), DidRun: uint32(errkind.NotRun), Message: "the target is stopping",
		}}})
	}
	for name, first := range map[string]targetScript{
		"after a token": func(st *wire.Stream, _ *wirepb.Dispatch) {
			_ = st.Send(tokenFrame(0, standin.TokenText(testPrompt, 0)))
		},
		"before any answer": func(*wire.Stream, *wirepb.Dispatch) {},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newFixture(t, "a", "b")
				f.addScriptedTarget("a", first)
				f.addScriptedTarget("b", refuse)
				f.start()
				got := f.complete(testTokens, testPrompt)
				assert.Contains(t, got.body, `"kind":"leaving"`)
				assert.NotContains(t, got.body, "not_run")
			})
		})
	}
}

// Guards against work that continues after its caller has disconnected.
func TestCallerGoesAway(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFixture(t, "a")
		m := newModel()
		f.addModelTarget("a", m.Direct())
		f.start()
		conn := f.sendRequest(1000, testPrompt)
		_, err := io.ReadFull(conn, make([]byte, 500))
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		synctest.Wait()
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, standin.ModelCounts{Started: 1, Cancelled: 1}, m.Counts())
	})
}

// bulkModel sends tokens of 1 KB as fast as they are accepted.
type bulkModel struct {
	engine.Model
	sent  atomic.Int64
	ended atomic.Bool
}

func (m *bulkModel) Generate(_ context.Context, g engine.Generation, emit func(engine.Token) error) (engine.Finish, error) {
	defer m.ended.Store(true)
	for i := range g.MaxTokens {
		if err := emit(engine.Token{Offset: i, Text: strings.Repeat("x", 1<<10)}); err != nil {
			return engine.Finish{}, err
		}
		m.sent.Add(1 << 10)
	}
	return engine.Finish{Reason: "length", Tokens: g.MaxTokens}, nil
}

// Guards against unlimited buffering for a caller that reads nothing, and
// against an attempt that hangs at the target after the caller timed out: the
// target then waits for the window of a stream that nobody reads.
func TestSlowCallerIsBoundedAndEnded(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFixture(t, "a")
		m := &bulkModel{}
		f.addModelTarget("a", m)
		f.start()
		conn := f.sendRequest(4096, testPrompt)
		defer func() { _ = conn.Close() }()
		synctest.Wait()
		time.Sleep(callerWriteTimeout - time.Millisecond)
		assert.False(t, m.ended.Load(), "ended before the write timeout")
		assert.LessOrEqual(t, m.sent.Load(), int64(testStreamWindow+64<<10))
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		assert.True(t, m.ended.Load(), "the engine still generates after the write timeout")
	})
}

// requestIDModel records the request id and the resume text that reach the
// engine.
type requestIDModel struct {
	engine.Model
	id, text string
}

func (m *requestIDModel) Generate(ctx context.Context, g engine.Generation, emit func(engine.Token) error) (engine.Finish, error) {
	m.id, m.text = g.RequestID, g.ResumeText
	return m.Model.Generate(ctx, g, emit)
}

// Guards against a caller's request id that is replaced on the way to the
// engine.
func TestRequestIDIsKept(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFixture(t, "a", "b")
		broken := newModel()
		broken.SetFaults(standin.ModelFaults{BreakAfter: 2})
		a, b := &requestIDModel{Model: broken.Direct()}, &requestIDModel{Model: newModel().Direct()}
		f.addModelTarget("a", a)
		f.addModelTarget("b", b)
		f.start()
		got := f.complete(testTokens, testPrompt)
		assert.Equal(t, []string{"req-7", "req-7", "req-7"}, []string{got.header.Get("X-Request-Id"), a.id, b.id})
		events, _ := f.entry.node.Events.Since(0)
		require.NotEmpty(t, events)
		for _, e := range events {
			if e.Kind == timeline.AttemptStarted || e.Kind == timeline.RequestFinished {
				assert.Equal(t, "req-7", e.RequestID)
			}
		}
	})
}

// Guards against an engine that continues without the text before its offset:
// the text of the caller's earlier stream and that of an earlier attempt.
func TestResumeTextReachesEngine(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFixture(t, "a", "b")
		f.fields = map[string]any{"from_offset": 2, "from_text": "one two"}
		broken := newModel()
		broken.SetFaults(standin.ModelFaults{BreakAfter: 1})
		b := &requestIDModel{Model: newModel().Direct()}
		f.addModelTarget("a", broken.Direct())
		f.addModelTarget("b", b)
		f.start()
		got := f.complete(testTokens, testPrompt)
		assert.Equal(t, testTokens-2, strings.Count(got.body, `"offset":`))
		assert.Equal(t, "one two"+standin.TokenText(testPrompt, 2), b.text)
	})
}
