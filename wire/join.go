package wire

import (
	"encoding/binary"
	"net"
)

// The header of a yamux frame.
const (
	yamuxHeader     = 12
	yamuxTypeOffset = 1
	yamuxTypeData   = 0
	yamuxLength     = 8
	// maxJoined bounds the copy of a body; a larger one is written by itself.
	maxJoined = 16 << 10
)

// joiningConn writes the header of a yamux data frame together with its body.
// yamux writes them one after the other, which costs a system call more for
// each message. Only the send loop of yamux writes.
type joiningConn struct {
	net.Conn
	held []byte
}

// Write implements net.Conn.
func (c *joiningConn) Write(p []byte) (int, error) {
	switch {
	case len(c.held) == 0 && isDataHeader(p):
		c.held = append(c.held, p...)
		return len(p), nil
	case len(c.held) == 0:
		return c.Conn.Write(p)
	}
	if len(p) > maxJoined {
		if _, err := c.Conn.Write(c.held); err != nil {
			return 0, err
		}
		c.held = c.held[:0]
		return c.Conn.Write(p)
	}
	c.held = append(c.held, p...)
	_, err := c.Conn.Write(c.held)
	c.held = c.held[:0]
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

func isDataHeader(p []byte) bool {
	return len(p) == yamuxHeader && p[yamuxTypeOffset] == yamuxTypeData && binary.BigEndian.Uint32(p[yamuxLength:]) > 0
}
