package client

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra/standin/malformed"
)

// Guards against a change of an operator that counts as made because of a malformed
// response.
func TestMalformedResponse(t *testing.T) {
	for name, response := range malformed.All("200 OK", "Content-Type: application/json\r\n", "{}") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			url := malformed.Start(t, response).URL
			err := New([]string{url}, "token").Do(t.Context(), url, Request{Method: http.MethodPost, Path: "/"}, nil)
			require.Equal(t, errkind.TargetUnreachable, errkind.KindOf(err), "%v", err)
		})
	}
}
