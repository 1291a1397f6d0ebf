package caller

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra/standin/malformed"
)

// Guards against a malformed response of an entry that is returned as one. The call may
// have run.
func TestMalformedResponse(t *testing.T) {
	for name, response := range malformed.All("200 OK", "Content-Type: application/json\r\n", "{}") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := malformed.Start(t, response)
			c := New(Options{Entries: []string{server.URL}})
			defer c.Close()
			c.addresses.store([]string{server.URL}, time.Hour)
			c.operations.notBefore.Store(time.Now().Add(time.Hour).UnixNano())
			_, err := c.Call(t.Context(), CallRequest{Backend: "b", Operation: "o", Deadline: callTimeout})
			var interrupted *InterruptedError
			require.True(t, errors.As(err, &interrupted), "%v", err)
			require.Equal(t, errkind.Unknown, interrupted.DidRun)
			require.EqualValues(t, 1, server.Requests())
		})
	}
}
