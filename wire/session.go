package wire

import (
	"bufio"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// ProtocolVersion is sent in the first message. Peers with another version are
// refused.
const ProtocolVersion = 1

// Limits of a session.
const (
	streamWindow     = 256 << 10 // yamux accepts no smaller window
	acceptBacklog    = 4096
	handshakeTimeout = 5 * time.Second
	keepAlive        = 5 * time.Second
	writeTimeout     = 10 * time.Second
	nonceSize        = 32
	// maxHandshakeMessage is the maximum size in bytes of messages from a peer that
	// is not authenticated yet.
	maxHandshakeMessage = 4 << 10
	streamReadBuffer    = 4 << 10
	// maxStreams limits the open work streams of a session. It equals the accept
	// backlog, since OpenStream of yamux blocks while as many streams have not been
	// acknowledged yet.
	maxStreams = acceptBacklog
	// openTimeout limits writing the first message of a stream. Otherwise a message
	// larger than the stream window would block forever if the peer has stopped
	// reading.
	openTimeout = 3 * time.Second
)

// Session is one authenticated connection to a peer.
type Session struct {
	mux     *yamux.Session
	control *Stream
	peer    *wirepb.Hello
	opening atomic.Int32 // number of calls of openStream in progress
}

// Stream is one stream of a session. It may be read and written concurrently;
// concurrent writes are serialised, concurrent reads are not.
type Stream struct {
	raw     *yamux.Stream
	r       *bufio.Reader
	writeMu sync.Mutex
}

// Dial connects to a peer and performs the handshake, which must end before ctx
// does.
func Dial(ctx context.Context, addr string, key []byte, hello *wirepb.Hello) (*Session, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.TargetUnreachable, "dial %s", addr)
	}
	return newSession(conn, key, hello, true, handshakeDeadline(ctx, handshakeTimeout))
}

// handshakeDeadline returns the deadline of ctx, or the end of the timeout if
// that is earlier.
func handshakeDeadline(ctx context.Context, timeout time.Duration) time.Time {
	end := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(end) {
		return d
	}
	return end
}

// Client performs the handshake as the side that opened the connection. It closes
// the connection on failure.
func Client(conn net.Conn, key []byte, hello *wirepb.Hello) (*Session, error) {
	return newSession(conn, key, hello, true, time.Now().Add(handshakeTimeout))
}

// Server performs the handshake as the side that accepted the connection. It
// closes the connection on failure.
func Server(conn net.Conn, key []byte, hello *wirepb.Hello) (*Session, error) {
	return newSession(conn, key, hello, false, time.Now().Add(handshakeTimeout))
}

func newSession(conn net.Conn, key []byte, hello *wirepb.Hello, client bool, deadline time.Time) (*Session, error) {
	peer, err := handshake(conn, key, hello, client, deadline)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	cfg := yamux.DefaultConfig()
	cfg.MaxStreamWindowSize = streamWindow
	cfg.AcceptBacklog = acceptBacklog
	cfg.KeepAliveInterval = keepAlive
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.LogOutput = io.Discard
	s := &Session{peer: peer}
	joined := &joiningConn{Conn: conn}
	if client {
		s.mux, err = yamux.Client(joined, cfg)
	} else {
		s.mux, err = yamux.Server(joined, cfg)
	}
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "start session")
	}
	if err := s.openControl(client); err != nil {
		_ = s.mux.Close()
		return nil, err
	}
	return s, nil
}

func (s *Session) openControl(client bool) error {
	var raw *yamux.Stream
	var err error
	if client {
		raw, err = s.mux.OpenStream()
	} else {
		// A peer that replies to keep-alives but opens no stream must not occupy
		// the connection forever.
		ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
		defer cancel()
		raw, err = s.mux.AcceptStreamWithContext(ctx)
	}
	if err != nil {
		return errors.Wrap(err, "open control stream")
	}
	s.control = newStream(raw)
	return nil
}

// handshake exchanges Hello messages and proofs of the cluster key. It runs
// before yamux starts, so that an unauthenticated peer can't open streams.
func handshake(conn net.Conn, key []byte, hello *wirepb.Hello, client bool, deadline time.Time) (*wirepb.Hello, error) {
	_ = conn.SetDeadline(deadline)
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	own := proto.CloneOf(hello)
	own.ProtocolVersion = ProtocolVersion
	own.Nonce = make([]byte, nonceSize)
	_, _ = rand.Read(own.Nonce)
	// The reader must not consume bytes that belong to yamux, so it reads them
	// one at a time.
	r := bufio.NewReaderSize(oneByteReader{conn}, 16)
	var peer wirepb.Hello
	if err := exchange(conn, r, client, own, &peer); err != nil {
		return nil, errkind.Wrap(err, errkind.TargetUnreachable, "handshake")
	}
	if peer.GetProtocolVersion() != ProtocolVersion {
		return nil, errkind.New(errkind.ProtocolMismatch, "peer %s uses protocol version %d, this process uses %d",
			peer.GetInstance(), peer.GetProtocolVersion(), ProtocolVersion)
	}
	var peerProof wirepb.HelloProof
	ownProof := &wirepb.HelloProof{Mac: mac(key, client, own.GetNonce(), peer.GetNonce())}
	if err := exchange(conn, r, client, ownProof, &peerProof); err != nil {
		return nil, errkind.Wrap(err, errkind.TargetUnreachable, "handshake proof")
	}
	if !hmac.Equal(peerProof.GetMac(), mac(key, !client, peer.GetNonce(), own.GetNonce())) {
		return nil, errkind.New(errkind.Unauthenticated, "peer %s does not hold the cluster key", peer.GetInstance())
	}
	return &peer, nil
}

// exchange sends out and receives in. The client sends first, which also works
// over unbuffered connections such as net.Pipe.
func exchange(conn net.Conn, r *bufio.Reader, client bool, out, in proto.Message) error {
	if client {
		if err := WriteMsg(conn, out); err != nil {
			return err
		}
		return readMsg(r, in, maxHandshakeMessage)
	}
	if err := readMsg(r, in, maxHandshakeMessage); err != nil {
		return err
	}
	return WriteMsg(conn, out)
}

// mac returns the proof that one side holds the cluster key. It includes the side,
// so that a peer can't send back the proof that it has received.
func mac(key []byte, client bool, own, other []byte) []byte {
	h := hmac.New(sha256.New, key)
	if client {
		_, _ = h.Write([]byte("client"))
	} else {
		_, _ = h.Write([]byte("server"))
	}
	_, _ = h.Write(own)
	_, _ = h.Write(other)
	return h.Sum(nil)
}

type oneByteReader struct{ conn net.Conn }

func (r oneByteReader) Read(p []byte) (int, error) {
	if len(p) > 1 {
		p = p[:1]
	}
	return r.conn.Read(p)
}

// Peer returns the Hello of the other side.
func (s *Session) Peer() *wirepb.Hello { return s.peer }

// Control returns the control stream.
func (s *Session) Control() *Stream { return s.control }

// Open opens a work stream and sends its first message. An error is marked
// not_run only if no byte of the message was passed to the connection.
func (s *Session) Open(first *wirepb.Open) (*Stream, error) {
	raw, err := s.openStream()
	if err != nil {
		return nil, err
	}
	st := newStream(raw)
	_ = raw.SetWriteDeadline(time.Now().Add(openTimeout))
	if err := st.Send(first); err != nil {
		_ = raw.Close()
		return nil, errkind.Wrap(err, errkind.TargetLost, "write the first message to %s", s.peer.GetInstance())
	}
	_ = raw.SetWriteDeadline(time.Time{})
	return st, nil
}

// openStream opens a yamux stream unless the session has maxStreams. Streams that
// are being opened count as open, so that concurrent callers can't exceed the
// limit together.
func (s *Session) openStream() (*yamux.Stream, error) {
	defer s.opening.Add(-1)
	// The control stream is one of NumStreams and not a work stream.
	if int(s.opening.Add(1))+s.mux.NumStreams()-1 > maxStreams {
		return nil, errkind.New(errkind.Overloaded, "session with %s has %d open streams", s.peer.GetInstance(), maxStreams)
	}
	raw, err := s.mux.OpenStream()
	if err != nil {
		return nil, errkind.Wrap(err, errkind.TargetUnreachable, "open stream to %s", s.peer.GetInstance())
	}
	return raw, nil
}

// Accept waits for the next work stream.
func (s *Session) Accept() (*Stream, error) {
	raw, err := s.mux.AcceptStream()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return newStream(raw), nil
}

// StreamCount returns the number of open streams, including the control stream.
func (s *Session) StreamCount() int { return s.mux.NumStreams() }

// Done returns a channel that is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.mux.CloseChan() }

// IsClosed reports whether the session has ended.
func (s *Session) IsClosed() bool { return s.mux.IsClosed() }

// Close ends the session and all its streams.
func (s *Session) Close() error { return s.mux.Close() }

func newStream(raw *yamux.Stream) *Stream {
	return &Stream{raw: raw, r: bufio.NewReaderSize(raw, streamReadBuffer)}
}

// Send writes one message. It blocks while the stream window is full.
func (s *Stream) Send(m proto.Message) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	return WriteMsg(s.raw, m)
}

// SendAll writes several messages in a single write.
func SendAll[M proto.Message](s *Stream, messages []M) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	return writeMsgs(s.raw, messages...)
}

// Buffered reports whether a complete message is buffered, so that the next Recv
// does not block.
func (s *Stream) Buffered() bool {
	b, _ := s.r.Peek(s.r.Buffered())
	size, n := binary.Uvarint(b)
	return n > 0 && uint64(len(b)-n) >= size
}

// Recv reads one message into m. It returns io.EOF if the peer has closed the
// stream between two messages.
func (s *Stream) Recv(m proto.Message) error { return ReadMsg(s.r, m) }

// SetReadDeadline sets the deadline of Recv.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.raw.SetReadDeadline(t) }

// SetWriteDeadline sets the deadline of Send, including one that is blocked on
// the stream window.
func (s *Stream) SetWriteDeadline(t time.Time) error { return s.raw.SetWriteDeadline(t) }

// Close closes the stream for writing; the peer reads io.EOF.
func (s *Stream) Close() error { return s.raw.Close() }
