package load

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/infra/standin/endless"
)

// Guards against an entry whose response never ends: the load must go on, without
// using up the memory, and must not count the response as complete.
func TestResponseWithoutEnd(t *testing.T) {
	const (
		deadlineMs = 500
		timeMargin = 5 * time.Second // on a loaded machine
		limit      = 64 << 10
		token      = "data: {\"offset\":0}\n\n"
		streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	)
	scripts := endless.Heads()
	maps.Copy(scripts, endless.Bodies("200 OK", ""))
	for name, script := range endless.Bodies("503 Full", `{"kind":`) {
		scripts["503: "+name] = script
	}
	maps.Copy(scripts, map[string]endless.Script{
		"stream line":     {Prefix: streamHead + token + "data: ", Unit: endless.Garbage},
		"stream event":    {Prefix: streamHead + token, Unit: "data: a\n"},
		"stream comments": {Prefix: streamHead + token, Unit: ": wait\n\n", Slow: true},
	})
	for flowName, flow := range map[string]*Flow{
		"call":   {Backend: "app", Operation: "book", DeadlineMs: deadlineMs},
		"stream": {Model: "m", MaxTokens: 5, DeadlineMs: deadlineMs},
	} {
		for name, script := range scripts {
			t.Run(flowName+"/"+name, func(t *testing.T) {
				if script.Slow {
					t.Parallel()
				}
				server := endless.Start(t, script)
				s := newSender([]string{server.URL}, func(string) string { return "key" })
				s.start = time.Now()
				var o outcome
				endless.RequireLimited(t, script, limit, func() { o = s.send(t.Context(), arrival{flow: flow}) })
				require.Less(t, time.Since(s.start), deadlineMs*time.Millisecond+timeMargin)
				require.NotEqual(t, resultComplete, o.result)
				require.NotEqual(t, resultNotRun, o.result)
				server.RequireClosed(t)
			})
		}
	}
}
