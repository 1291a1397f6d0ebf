package service_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/engine/service"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra/standin/early"
)

// Guards against a part of a response that is returned as the whole one because its
// service, which had responded without a length before it had read a long call, reset the
// connection.
func TestEarlyResponseThatIsReset(t *testing.T) {
	l := early.Start(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\npart")
		early.Reset(c)
	})
	c := service.New("http://" + l.Addr().String())
	defer c.Close()
	call := engine.Call{Operation: "book", Method: http.MethodPost, Body: make([]byte, 3<<20)}
	for n := range 100 { // who learns of a reset first is a race
		_, err := c.Call(t.Context(), call)
		require.Error(t, err, "call %d", n)
		require.Equal(t, errkind.Unknown, errkind.From(err).DidRun, "%v", err)
	}
}
