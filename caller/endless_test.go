package caller

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/errkind"
)

// Guards against a response over the limit that is cut off there and returned as
// complete.
func TestCallWithLongResponse(t *testing.T) {
	for _, size := range []int{maxResponseBytes, maxResponseBytes + 1} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", size))
		}))
		c := New(Options{})
		c.addresses.store([]string{srv.URL}, time.Hour)
		response, err := c.Call(t.Context(), CallRequest{Backend: "b", Operation: "o", Idempotent: true})
		c.Close()
		srv.Close()
		if size <= maxResponseBytes {
			require.NoError(t, err)
			require.Len(t, response.Body, size)
			continue
		}
		var interrupted *InterruptedError
		require.True(t, errors.As(err, &interrupted), "%v", err)
		require.Equal(t, errkind.Unknown, interrupted.DidRun)
	}
}
