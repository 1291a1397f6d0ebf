package client

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
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

// Guards against a change of an operator that is sent to another process because of a
// redirect, or that counts as made because the entry answered with one.
func TestRedirectIsAnError(t *testing.T) {
	var requests atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
	defer other.Close()
	for _, status := range []int{http.StatusFound, http.StatusSeeOther, http.StatusTemporaryRedirect} {
		entry := httptest.NewServer(http.RedirectHandler(other.URL, status))
		err := New([]string{entry.URL}, "token").Do(t.Context(), entry.URL, Request{Method: http.MethodPost, Path: "/"}, nil)
		require.Error(t, err)
		entry.Close()
	}
	require.Zero(t, requests.Load())
}
