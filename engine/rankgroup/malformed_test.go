package rankgroup_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/engine/rankgroup"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/expertmap"
	"github.com/skylarkstep/skylarkstep/infra/standin/malformed"
)

// Guards against a malformed response of the engine of a rank group that counts as one.
func TestMalformedResponse(t *testing.T) {
	for name, response := range malformed.All("200 OK", "Content-Type: application/json\r\n", "{}") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := rankgroup.New(malformed.Start(t, response).URL)
			_, err := c.Progress(t.Context())
			require.Equal(t, errkind.BackendFailed, errkind.KindOf(err), "%v", err)
			_, err = c.Switch(t.Context(), expertmap.Message{})
			require.Equal(t, errkind.BackendFailed, errkind.KindOf(err), "%v", err)
			require.Equal(t, errkind.Unknown, errkind.From(err).DidRun)
		})
	}
}
