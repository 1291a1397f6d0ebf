package service_test

import (
	"context"
	"maps"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/engine/service"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra/standin/endless"
)

// Guards against a service whose response never ends: a call must fail by its
// deadline, without using up the memory, be sent once, and never count as not run.
func TestResponseWithoutEnd(t *testing.T) {
	const (
		callTimeout = 500 * time.Millisecond
		timeMargin  = 5 * time.Second // on a loaded machine
		maxHead     = 64 << 10
	)
	scripts := endless.Heads()
	maps.Copy(scripts, endless.Bodies("200 OK", ""))
	for name, script := range scripts {
		limit := int64(service.MaxResponseBytes)
		if _, ok := endless.Heads()[name]; ok {
			limit = maxHead
		}
		for _, call := range []engine.Call{{Operation: "book"}, {Operation: "read", Method: http.MethodGet, Idempotent: true}} {
			t.Run(call.Operation+"/"+name, func(t *testing.T) {
				if script.Slow {
					t.Parallel()
				}
				server := endless.Start(t, script)
				c := service.New(server.URL)
				defer c.Close()
				ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
				defer cancel()
				start := time.Now()
				var err error
				endless.RequireLimited(t, script, limit, func() { _, err = c.Call(ctx, call) })
				require.Error(t, err)
				require.Less(t, time.Since(start), callTimeout+timeMargin)
				require.Equal(t, errkind.Unknown, errkind.From(err).DidRun, "%v", err)
				server.RequireClosed(t)
				require.EqualValues(t, 1, server.Requests())
			})
		}
	}
}
