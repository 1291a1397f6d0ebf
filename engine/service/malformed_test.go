package service_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/engine/service"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra/standin/malformed"
)

// Guards against a malformed response of a service that is returned as its response: the
// caller got a status of 200 for one of 000. The call may have run, and is sent once.
func TestMalformedResponse(t *testing.T) {
	for name, response := range malformed.All("200 OK", "Content-Type: application/json\r\n", "{}") {
		for _, call := range []engine.Call{{Operation: "book"}, {Operation: "read", Method: http.MethodGet, Idempotent: true}} {
			t.Run(call.Operation+"/"+name, func(t *testing.T) {
				t.Parallel()
				server := malformed.Start(t, response)
				c := service.New(server.URL)
				defer c.Close()
				_, err := c.Call(t.Context(), call)
				require.Equal(t, errkind.BackendFailed, errkind.KindOf(err), "%v", err)
				require.Equal(t, errkind.Unknown, errkind.From(err).DidRun, "%v", err)
				require.EqualValues(t, 1, server.Requests())
			})
		}
	}
}
