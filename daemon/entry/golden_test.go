package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/daemon/node"
)

// goldenTokens keeps the golden files short.
const goldenTokens = 6

// TestWholeSessions guards against unintended changes in what a caller receives
// or what the processes record during a request. The golden files contain the
// caller's bytes and the recorded events. Update them with go test
// ./daemon/entry -run TestWholeSessions -update
func TestWholeSessions(t *testing.T) {
	for name, tc := range map[string]struct {
		targets []string
		leaving []string
		fields  map[string]any
		// lose is the target whose connection breaks after three tokens.
		lose string
	}{
		"finished":                  {targets: []string{"a"}},
		"target_lost_and_continued": {targets: []string{"a", "b"}, lose: "a"},
		"cannot_be_continued":       {targets: []string{"a"}, lose: "a"},
		"refused_and_continued":     {targets: []string{"a", "b"}, leaving: []string{"a"}},
		"refused_not_run":           {targets: []string{"a"}, leaving: []string{"a"}},
		"unknown_model":             {targets: []string{"a"}, fields: map[string]any{"model": "none"}},
	} {
		t.Run(name, func(t *testing.T) {
			var got string
			inBubble(t, func(t *testing.T) {
				f := newFixture(t, tc.targets...)
				f.config.Rules.TargetsLeaving, f.fields = tc.leaving, tc.fields
				for _, target := range tc.targets {
					f.addModelTarget(target, newModel().Direct())
				}
				f.start()
				if tc.lose != "" {
					time.AfterFunc(125*time.Millisecond, func() { _ = f.pool.targets[0].session.Close() })
				}
				res := f.complete(goldenTokens, testPrompt)
				synctest.Wait()
				got = f.renderSession(t, res)
			})
			goldie.New(t, goldie.WithDiffEngine(goldie.ColoredDiff)).Assert(t, name, []byte(got))
		})
	}
}

// renderSession returns the caller's bytes and the events of all processes as
// text.
func (f *fixture) renderSession(t *testing.T, res response) string {
	var b strings.Builder
	fmt.Fprintf(&b, "== caller\nstatus %d %s\n", res.status, http.StatusText(res.status))
	for _, name := range []string{"Content-Type", "X-Request-Id", "Retry-After"} {
		if v := res.header.Get(name); v != "" {
			fmt.Fprintf(&b, "%s: %s\n", name, v)
		}
	}
	fmt.Fprintf(&b, "\n%s\n", strings.TrimSpace(res.body))
	for _, n := range append([]*node.Node{f.entry.node}, f.nodes...) {
		fmt.Fprintf(&b, "\n== events of %s\n", n.Name)
		events, overwritten := n.Events.Since(0)
		require.Zero(t, overwritten)
		for _, e := range events {
			if e.RequestID == "" {
				continue
			}
			e.Incarnation, e.Sequence, e.At = 0, 0, 0
			line, err := json.Marshal(e)
			require.NoError(t, err)
			fmt.Fprintf(&b, "%s\n", line)
		}
	}
	return normalise(b.String())
}

var variableParts = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`"retry_after_ms":\d+`), `"retry_after_ms":"MS"`},
	{regexp.MustCompile(`Retry-After: \d+`), "Retry-After: SECONDS"},
	{regexp.MustCompile(`"at":0,`), ""},
	{regexp.MustCompile(`"incarnation":"0",`), ""},
	{regexp.MustCompile(`"sequence":0,`), ""},
}

// normalise replaces the parts that differ between runs: times, random numbers,
// and retry-after times, which have jitter.
func normalise(s string) string {
	for _, v := range variableParts {
		s = v.pattern.ReplaceAllString(s, v.text)
	}
	return s
}
