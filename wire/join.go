package wire

import (
	"encoding/binary"
	"net"
)

// Layout of the header of a yamux frame, in bytes.
const (
	yamuxHeaderSize   = 12
	yamuxTypeOffset   = 1
	yamuxTypeData     = 0
	yamuxLengthOffset = 8
	// maxJoined limits the size of a body that is copied. A larger one is
	// written separately.
	maxJoined = 16 << 10
)

// joiningConn writes the header of a yamux data frame together with its body.
// yamux itself writes them separately, which costs one more system call per
// message. Write is not safe for concurrent use: only the send loop of yamux
// calls it.
type joiningConn struct {
	net.Conn
	header []byte
}

// Write implements net.Conn.
func (c *joiningConn) Write(p []byte) (int, error) {
	switch {
	case len(c.header) == 0 && isDataHeader(p):
		c.header = append(c.header, p...)
		return len(p), nil
	case len(c.header) == 0:
		return c.Conn.Write(p)
	}
	if len(p) > maxJoined {
		if _, err := c.Conn.Write(c.header); err != nil {
			return 0, err
		}
		c.header = c.header[:0]
		return c.Conn.Write(p)
	}
	c.header = append(c.header, p...)
	_, err := c.Conn.Write(c.header)
	c.header = c.header[:0]
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

func isDataHeader(p []byte) bool {
	return len(p) == yamuxHeaderSize && p[yamuxTypeOffset] == yamuxTypeData && binary.BigEndian.Uint32(p[yamuxLengthOffset:]) > 0
}
