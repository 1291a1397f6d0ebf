package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/routing"
)

// startHolders starts an instance before targets that keep a number of tokens.
func startHolders(t *testing.T, retained, targets int) (*instance, []*fakeTarget) {
	cfg := config()
	cfg.Backends[0].Engine = &routing.EngineTimes{
		StepsPerPass: 5, Step: 4 * time.Millisecond, PerRequest: time.Millisecond, ReadTokensPerS: 60_000, UsualPrompt: 800, UsualResponse: 100,
	}
	var fakes []*fakeTarget
	for i := range targets {
		fakes = append(fakes, startFakeTarget(t, fmt.Sprint("t", i), answerKind))
	}
	d := newDeployment(t, cfg, fakes...)
	g := d.start("g1")
	limits := *g.limits.Load()
	limits.RetainedPromptTokens = retained
	g.SetLimits(limits)
	require.Eventually(t, func() bool { return g.targetCount() == targets }, time.Second, time.Millisecond)
	return g, fakes
}

// sendPrompts sends requests whose prompts begin with the same part, one after the other,
// and returns the number of targets that have got one.
func sendPrompts(t *testing.T, g *instance, targets []*fakeTarget, n, sharedTokens int) (used int) {
	for i := range n {
		resp := g.send(t.Context(), http.MethodPost, "/chat/1", http.Header{
			"X-Id": {fmt.Sprint(i)}, "X-Deadline": {"3s"}, "X-Parts": {fmt.Sprint("system,own", i)}, "X-Part-Tokens": {fmt.Sprint(sharedTokens, ",100")},
		})
		require.Equal(t, http.StatusOK, resp.status, resp.body)
	}
	for _, f := range targets {
		if f.requests.Load() > 0 {
			used++
		}
	}
	return used
}

// Guards against requests that are sent to targets which must read a long part anew, while
// one that holds it has room.
func TestLongPartIsReadOnce(t *testing.T) {
	g, targets := startHolders(t, 100_000, 4)
	require.Equal(t, 1, sendPrompts(t, g, targets, 20, 4000))
	require.Positive(t, g.metrics.heldPromptsUsed.Count())
}

// Guards against a choice by a part that saves less than choices vary by, and against one
// where the settings do not say that targets keep prompts.
func TestShortOrUnkeptPartsDecideNothing(t *testing.T) {
	for _, c := range []struct{ retained, sharedTokens int }{{100_000, 40}, {0, 4000}} {
		g, targets := startHolders(t, c.retained, 4)
		require.Equal(t, 4, sendPrompts(t, g, targets, 40, c.sharedTokens))
		require.Zero(t, g.metrics.heldPromptsUsed.Count())
	}
}
