package tcpend

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/infra/standin/tcppair"
)

// Guards against a reset that a write has got, so that the read finds an ordinary end.
func TestReaderLearnsOfReset(t *testing.T) {
	ours, theirs := tcppair.Connect(t)
	c := Wrap(ours)
	require.NoError(t, theirs.SetLinger(0))
	require.NoError(t, theirs.Close())
	time.Sleep(20 * time.Millisecond) // the reset arrives
	_, err := c.Write([]byte("x"))
	require.ErrorIs(t, err, syscall.ECONNRESET)
	_, err = ours.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err, "the kernel reports the reset twice, so that this package is not needed")
	_, err = c.Read(make([]byte, 1))
	require.Equal(t, ErrReset, err)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against an ordinary end that is taken for a reset, also while a write is blocked.
func TestReaderFindsOrdinaryEnd(t *testing.T) {
	ours, theirs := tcppair.Connect(t)
	c := Wrap(ours)
	writeEnded := make(chan struct{})
	go func() {
		defer close(writeEnded)
		_ = c.WriteBuffers(net.Buffers{[]byte(strings.Repeat("x", 8<<20))})
	}()
	require.NoError(t, theirs.CloseWrite())
	start := time.Now()
	_, err := c.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err)
	require.Less(t, time.Since(start), writeEndTimeout)
	require.NoError(t, c.Close())
	<-writeEnded
}

// untoldConn is a connection that the kernel does not tell about. Its read finds the end;
// its write fails after a time, or never ends.
type untoldConn struct {
	net.Conn
	writeErr error
	after    time.Duration
}

func (c *untoldConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *untoldConn) Write(p []byte) (int, error) {
	time.Sleep(c.after)
	return len(p), c.writeErr
}

// Guards against a reset that is missed where the kernel does not tell the state of a
// connection: the write that gets it may end just after the read.
func TestReaderLearnsOfFailedWrite(t *testing.T) {
	for name, c := range map[string]struct {
		conn untoldConn
		want error
	}{
		"failed before":    {untoldConn{writeErr: syscall.ECONNRESET}, ErrReset},
		"fails just after": {untoldConn{writeErr: syscall.EPIPE, after: 50 * time.Millisecond}, ErrReset},
		"succeeded":        {untoldConn{}, io.EOF},
		"is blocked":       {untoldConn{writeErr: errors.New("closed"), after: 2 * writeEndTimeout}, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := Wrap(&c.conn)
			go func() { _, _ = conn.Write([]byte("x")) }()
			time.Sleep(10 * time.Millisecond)
			_, err := conn.Read(make([]byte, 1))
			require.Equal(t, c.want, err)
		})
	}
}
