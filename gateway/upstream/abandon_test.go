package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that reaches its target long after it was abandoned: what
// waits in the socket is delivered after an ordinary close, as soon as the target reads or
// the path to it is back.
func TestAbandonedRequestIsNotDelivered(t *testing.T) {
	const receiveBuffer, bodySize = 4 << 10, 64 << 10 // bytes; the rest waits in the socket of the sender
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	accepted := make(chan *net.TCPConn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			accepted <- c.(*net.TCPConn)
		}
	}()
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		body := bytes.Repeat([]byte("x"), bodySize)
		_, err := NewPool(l.Addr().String()).Do(ctx, &Request{Method: http.MethodPost, Target: "/", Host: "h", Body: body, HasBody: true}) //nolint:bodyclose // it fails
		failed <- err
	}()
	target := <-accepted
	defer func() { _ = target.Close() }()
	time.Sleep(200 * time.Millisecond) // the body waits in the sockets
	cancel()
	require.Error(t, <-failed)
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, target.SetReadDeadline(time.Now().Add(2*time.Second)))
	r, err := http.ReadRequest(bufio.NewReader(target))
	if err == nil {
		_, err = io.ReadAll(r.Body)
	}
	require.Error(t, err, "the whole request has arrived")
	var netErr net.Error
	require.False(t, errors.As(err, &netErr) && netErr.Timeout(), "the target still waits for the rest")
}
