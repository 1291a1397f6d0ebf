package wire

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

var testKey = []byte("test-cluster-key-0123")

// inBubble runs a test in virtual time. yamux keeps timers in a sync.Pool, and a
// timer of an earlier bubble must not be reused. Two garbage collections empty
// the pool.
func inBubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	synctest.Test(t, f)
}

// newSessionPair returns both sides of a session over two ends of a connection.
func newSessionPair(t *testing.T, clientConn, serverConn net.Conn) (client, server *Session) {
	accepted := make(chan *Session, 1)
	go func() {
		s, err := Server(serverConn, testKey, &wirepb.Hello{Instance: "server"})
		assert.NoError(t, err)
		accepted <- s
	}()
	client, err := Client(clientConn, testKey, &wirepb.Hello{Instance: "client"})
	require.NoError(t, err)
	server = <-accepted
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return client, server
}

// Guards against a peer that keeps a connection open, or gets a session, without
// completing a correct handshake.
func TestHandshakeFaults(t *testing.T) {
	hello := &wirepb.Hello{ProtocolVersion: ProtocolVersion, Instance: "peer", Nonce: make([]byte, nonceSize)}
	otherVersion := proto.CloneOf(hello)
	otherVersion.ProtocolVersion = ProtocolVersion + 1
	for name, tc := range map[string]struct {
		play func(conn net.Conn)
		kind errkind.Kind
		took time.Duration
	}{
		"silence": {func(net.Conn) {}, errkind.TargetUnreachable, handshakeTimeout},
		"half a message": {func(c net.Conn) { _, _ = c.Write([]byte{200, 1, 'x'}) },
			errkind.TargetUnreachable, handshakeTimeout},
		"garbage": {func(c net.Conn) {
			_, _ = c.Write([]byte("GET / HTTP/1.1\r\nHost: peer\r\n\r\n" + string(make([]byte, 100))))
		},
			errkind.TargetUnreachable, 0},
		"garbage without end": {func(c net.Conn) { sendForever(c, bytes.Repeat([]byte("G"), 1<<10), 0) }, errkind.TargetUnreachable, 0},
		"length without end":  {func(c net.Conn) { sendForever(c, []byte{0xff}, 0) }, errkind.TargetUnreachable, 0},
		"message without end": {func(c net.Conn) {
			_, _ = c.Write([]byte{0x80, 0x20})
			sendForever(c, []byte{'x'}, 100*time.Millisecond)
		}, errkind.TargetUnreachable, handshakeTimeout},
		"length over the limit": {func(c net.Conn) { _, _ = c.Write([]byte{0x81, 0x80, 0x40}) }, errkind.TargetUnreachable, 0},
		"closed":                {func(c net.Conn) { _ = c.Close() }, errkind.TargetUnreachable, 0},
		"other version":         {func(c net.Conn) { _ = WriteMsg(c, otherVersion); discardInput(c) }, errkind.ProtocolMismatch, 0},
		"no proof":              {func(c net.Conn) { _ = WriteMsg(c, hello); discardInput(c) }, errkind.TargetUnreachable, handshakeTimeout},
		"other key": {func(c net.Conn) { _, _ = Client(c, []byte("another-cluster-key"), hello) },
			errkind.Unauthenticated, 0},
		"reflected proof": {reflectProof, errkind.Unauthenticated, 0},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				near, far := net.Pipe()
				defer func() { _ = near.Close() }()
				played := make(chan struct{})
				go func() {
					defer close(played)
					tc.play(near)
				}()
				start := time.Now()
				_, err := Server(far, testKey, &wirepb.Hello{Instance: "server"})
				assert.Equal(t, tc.kind, errkind.KindOf(err), "%v", err)
				assert.Equal(t, tc.took, time.Since(start))
				_, err = far.Write([]byte{0})
				assert.Error(t, err, "the connection is still open")
				_ = near.Close()
				<-played
			})
		})
	}
}

// sendForever writes bytes again and again until the connection is closed.
func sendForever(c net.Conn, p []byte, pause time.Duration) {
	for _, err := c.Write(p); err == nil; _, err = c.Write(p) {
		time.Sleep(pause)
	}
}

func discardInput(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// reflectProof plays a peer that sends a MAC over the server's own nonce without
// holding the cluster key.
func reflectProof(c net.Conn) {
	r := bufio.NewReader(c)
	_ = WriteMsg(c, &wirepb.Hello{ProtocolVersion: ProtocolVersion, Nonce: make([]byte, nonceSize)})
	var hello wirepb.Hello
	_ = ReadMsg(r, &hello)
	_ = WriteMsg(c, &wirepb.HelloProof{Mac: mac([]byte("guess"), true, hello.GetNonce(), hello.GetNonce())})
	discardInput(c)
}

// Guards against a peer that completes the handshake and then replies to
// keep-alives but opens no control stream.
func TestPeerWithoutControlStream(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		near, far := net.Pipe()
		start := time.Now()
		go func() {
			_, err := handshake(near, testKey, &wirepb.Hello{}, true, start.Add(handshakeTimeout))
			assert.NoError(t, err)
			discardInput(near)
		}()
		_, err := Server(far, testKey, &wirepb.Hello{})
		require.Error(t, err)
		assert.Equal(t, handshakeTimeout, time.Since(start))
	})
}

// Guards against a peer that sends bytes without end after the handshake: the
// session must end and close the connection.
func TestBytesAfterHandshake(t *testing.T) {
	// A frame of yamux begins with version, type and flags (2), and the ids of the
	// stream and the length (4 each).
	frames := map[string][]byte{
		"no frame":                 bytes.Repeat([]byte("GARBAGE"), 100),
		"data without end":         {0, 0, 0, 1, 0, 0, 0, 1, 0xff, 0xff, 0xff, 0xff, 'x', 'x'},
		"data over the window":     {0, 0, 0, 0, 0, 0, 0, 1, 0, 0x10, 0, 0},
		"the same stream again":    {0, 1, 0, 1, 0, 0, 0, 1, 0, 0, 0, 0},
		"unknown type of a frame":  {0, 9, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0},
		"goaway with unknown code": {0, 3, 0, 0, 0, 0, 0, 0, 0, 0, 0, 9},
	}
	for name, frame := range frames {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				near, far := net.Pipe()
				stopped := make(chan struct{})
				go func() {
					defer close(stopped)
					_, err := handshake(near, testKey, &wirepb.Hello{}, true, time.Now().Add(handshakeTimeout))
					assert.NoError(t, err)
					go discardInput(near)
					_, _ = near.Write([]byte{0, 1, 0, 1, 0, 0, 0, 1, 0, 0, 0, 0}) // opens the control stream
					sendForever(near, frame, time.Millisecond)
				}()
				// The frames may arrive before the control stream is accepted.
				if s, err := Server(far, testKey, &wirepb.Hello{}); err == nil {
					require.Error(t, s.Control().Recv(&wirepb.Control{}))
					<-s.Done()
				}
				<-stopped
			})
		})
	}
}

// Guards against a message that never ends on an open session: it must fail at the
// read deadline, which no byte extends.
func TestMessageWithoutEnd(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		near, far := net.Pipe()
		client, server := newSessionPair(t, near, far)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			raw := client.control.raw
			_, err := raw.Write([]byte{0x80, 0x80, 0x40}) // a message of 1 MB
			for err == nil {
				time.Sleep(10 * time.Millisecond)
				_, err = raw.Write([]byte{'x'})
			}
		}()
		start := time.Now()
		require.NoError(t, server.Control().SetReadDeadline(start.Add(time.Second)))
		require.Error(t, server.Control().Recv(&wirepb.Control{}))
		require.Equal(t, time.Second, time.Since(start))
		require.NoError(t, server.Close())
		require.NoError(t, client.Close())
		<-stopped
	})
}

// forwardUntil forwards bytes until stop is closed. Then it discards them, like a
// network whose other end has become unreachable.
func forwardUntil(from, to net.Conn, stop <-chan struct{}) {
	buf := make([]byte, 4<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		select {
		case <-stop:
		default:
			_, _ = to.Write(buf[:n])
		}
	}
}

// Guards against a half-open connection that keeps a session open forever.
func TestHalfOpenConnectionEndsSession(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		near, a := net.Pipe()
		b, far := net.Pipe()
		stop := make(chan struct{})
		go forwardUntil(a, b, stop)
		go forwardUntil(b, a, stop)
		client, server := newSessionPair(t, near, far)
		time.Sleep(time.Hour)
		require.False(t, client.mux.IsClosed(), "an idle session must stay open")
		start := time.Now()
		close(stop)
		<-client.Done()
		<-server.Done()
		assert.LessOrEqual(t, time.Since(start), keepAlive+writeTimeout)
	})
}

// Guards against an unlimited number of streams, and against blocking in
// OpenStream of yamux, which happens when too many streams are not yet
// acknowledged.
func TestStreamsOfSessionAreBounded(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		near, far := net.Pipe()
		client, server := newSessionPair(t, near, far)
		go func() {
			for {
				st, err := server.Accept()
				if err != nil {
					return
				}
				go func() {
					var open wirepb.Open
					_ = st.Recv(&open)
					_ = st.Recv(&wirepb.Cancel{})
					_ = st.Close()
				}()
			}
		}()
		// Close the streams before the session. yamux readers busy-wait between the
		// end of the session and that of their stream, which takes minutes with
		// 4,096 of them and the race detector.
		var streams []*Stream
		t.Cleanup(func() {
			for _, st := range streams {
				_ = st.Close()
			}
			synctest.Wait()
		})
		for range maxStreams {
			st, err := client.Open(&wirepb.Open{})
			require.NoError(t, err)
			streams = append(streams, st)
		}
		_, err := client.Open(&wirepb.Open{})
		require.Equal(t, errkind.Overloaded, errkind.KindOf(err))
		assert.Equal(t, errkind.NotRun, errkind.From(err).DidRun)
		require.NoError(t, streams[0].Close())
		synctest.Wait()
		st, err := client.Open(&wirepb.Open{})
		require.NoError(t, err, "closing a stream must allow another one")
		streams = append(streams, st)
	})
}

// Guards against reporting io.EOF for a truncated message: it is allowed only
// between two messages.
func TestReadMsgFaults(t *testing.T) {
	var complete bytes.Buffer
	require.NoError(t, WriteMsg(&complete, &wirepb.Pull{FromRevision: 300}))
	for name, tc := range map[string]struct {
		data []byte
		want error
	}{
		"nothing":       {nil, io.EOF},
		"half a length": {[]byte{0x80}, io.ErrUnexpectedEOF},
		"length only":   {complete.Bytes()[:1], io.ErrUnexpectedEOF},
		"half a body":   {complete.Bytes()[:2], io.ErrUnexpectedEOF},
		"whole":         {complete.Bytes(), nil},
	} {
		t.Run(name, func(t *testing.T) {
			err := ReadMsg(bufio.NewReader(bytes.NewReader(tc.data)), &wirepb.Pull{})
			assert.ErrorIs(t, err, tc.want)
		})
	}
	tooLong := []byte{0x81, 0x80, 0x80, 0x02} // 4 MB and 1
	assert.ErrorContains(t, ReadMsg(bufio.NewReader(bytes.NewReader(tooLong)), &wirepb.Pull{}), "exceeds")
	big := &wirepb.Deltas{Snapshot: make([]byte, MaxMessage)}
	assert.ErrorContains(t, WriteMsg(io.Discard, big), "exceeds")
}

// FuzzReadMsg guards against input that makes the reader panic or read past the
// end of a message, and against messages that share bytes with a pooled buffer.
func FuzzReadMsg(f *testing.F) {
	var seed bytes.Buffer
	require.NoError(f, WriteMsg(&seed, &wirepb.Frame{Body: &wirepb.Frame_Data{Data: []byte("answer")}}))
	f.Add(seed.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReader(bytes.NewReader(data))
		var m wirepb.Frame
		if ReadMsg(r, &m) != nil {
			return
		}
		kept := proto.CloneOf(&m)
		var other wirepb.Frame
		_ = ReadMsg(r, &other)
		require.True(t, proto.Equal(kept, &m), "reading a message must not change an earlier one")
		var again bytes.Buffer
		require.NoError(t, WriteMsg(&again, &m))
		var back wirepb.Frame
		require.NoError(t, ReadMsg(bufio.NewReader(&again), &back))
		require.True(t, proto.Equal(&m, &back))
	})
}
