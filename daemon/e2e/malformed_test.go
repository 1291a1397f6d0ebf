package e2e

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra/standin/malformed"
)

// Guards against a malformed response of a service that reaches a caller as an answer,
// and against the promise that its call has not run.
func TestMalformedResponseReachesNoCaller(t *testing.T) {
	var faulty atomic.Pointer[string]
	var sent atomic.Int64
	k := startCluster(t, twoByTwoConfig(t), func(k *cluster) {
		k.wrapService = func(service http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if response := faulty.Load(); response != nil && r.Method == http.MethodPost {
					sent.Add(1)
					malformed.Handler(*response).ServeHTTP(w, r)
					return
				}
				service.ServeHTTP(w, r)
			})
		}
	})
	responses := malformed.All("200 OK", "Content-Type: application/json\r\n", `{"broken":true}`)
	for _, name := range []string{"status 000", "status 099", "blank inside a name", "blank in the name of the coding"} {
		response := responses[name]
		for _, operation := range []string{"book", "slot-board"} {
			t.Run(operation+"/"+name, func(t *testing.T) {
				faulty.Store(&response)
				sent.Store(0)
				res, err := k.request(http.MethodPost, k.entryURL(0)+"/v1/services/cabina-app/"+operation, customerKey, nil, []byte("{}"))
				require.NoError(t, err)
				require.Positive(t, sent.Load())
				require.GreaterOrEqual(t, res.status, http.StatusInternalServerError, "%s", res.body)
				require.NotContains(t, string(res.body), "broken")
				require.Equal(t, errkind.Unknown.String(), decodeError(t, res).DidRun, "%s", res.body)
				if operation == "book" {
					require.Equal(t, http.StatusBadGateway, res.status)
				}
			})
		}
	}
}
