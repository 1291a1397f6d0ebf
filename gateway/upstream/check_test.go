package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a checked connection on which two goroutines wait for the next
// response, so that parts of it are lost.
func TestCheckedConnectionIsUsedForRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	accepted := make(chan struct{}, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			go func() {
				br := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
				}
			}()
		}
	}()
	p := NewPool(l.Addr().String())
	require.NoError(t, p.Check(t.Context()))
	for range 3 {
		resp, err := p.Do(t.Context(), &Request{Method: http.MethodGet, Target: "/", Host: "h"})
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "whole", string(body))
		resp.Finish()
	}
	require.Len(t, accepted, 1, "the checked connection was not used")
	require.NoError(t, l.Close())
	require.ErrorIs(t, NewPool(l.Addr().String()).Check(t.Context()), syscall.ECONNREFUSED)
}
