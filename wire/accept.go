package wire

import (
	"log/slog"
	"net"
	"time"

	"github.com/pkg/errors"
)

// acceptRetryDelay is the pause after a connection could not be accepted, for
// example because no file descriptor is free.
const acceptRetryDelay = 20 * time.Millisecond

// Accept waits for the next connection of a listener. It returns an error only when
// the listener is closed: a process that stopped accepting connections after another
// error would have to be restarted.
func Accept(l net.Listener, log *slog.Logger) (net.Conn, error) {
	for {
		conn, err := l.Accept()
		if err == nil {
			return conn, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, errors.WithStack(err)
		}
		log.Warn("connection not accepted", "addr", l.Addr().String(), "error", err.Error())
		time.Sleep(acceptRetryDelay)
	}
}
