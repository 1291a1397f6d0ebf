package wire

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// recordingConn records each write.
type recordingConn struct {
	net.Conn
	writes []string
}

func (w *recordingConn) Write(p []byte) (int, error) {
	w.writes = append(w.writes, string(p))
	return len(p), nil
}

// Guards against reordered bytes, and against holding back a header that has no
// body, such as that of a keep-alive, which would then never be sent.
func TestHeadersAreJoinedWithTheirBodies(t *testing.T) {
	data := string([]byte{0, yamuxTypeData, 0, 0, 0, 0, 0, 1, 0, 0, 0, 5})
	ping := string([]byte{0, 2, 0, 1, 0, 0, 0, 0, 0, 0, 0, 7})
	empty := string([]byte{0, yamuxTypeData, 0, 4, 0, 0, 0, 1, 0, 0, 0, 0})
	large := string(make([]byte, maxJoined+1))
	w := &recordingConn{}
	c := &joiningConn{Conn: w}
	for _, p := range []string{data, "hello", ping, empty, data, data, data, large, ping} {
		n, err := c.Write([]byte(p))
		require.NoError(t, err)
		assert.Equal(t, len(p), n)
	}
	assert.Equal(t, []string{data + "hello", ping, empty, data + data, data, large, ping}, w.writes)
}
