package wire

import (
	"bufio"
	"encoding/binary"
	"io"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// MaxMessage is the maximum size of a message in bytes.
const MaxMessage = 4 << 20

// maxPooledBuffer is the capacity in bytes above which a buffer is not returned
// to the pool, so that large messages do not keep memory allocated.
const maxPooledBuffer = 64 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 1024); return &b }}

// WriteMsg writes one message, prefixed by its length, in a single Write, so that
// concurrent writers do not interleave length and message.
func WriteMsg(w io.Writer, m proto.Message) error { return writeMsgs(w, m) }

func writeMsgs[M proto.Message](w io.Writer, messages ...M) error {
	bp := buffers.Get().(*[]byte)
	defer releaseBuffer(bp)
	b := (*bp)[:0]
	for _, m := range messages {
		size := proto.Size(m)
		if size > MaxMessage {
			return errors.Errorf("message of %d bytes exceeds %d", size, MaxMessage)
		}
		var err error
		b = binary.AppendUvarint(b, uint64(size))
		if b, err = (proto.MarshalOptions{UseCachedSize: true}).MarshalAppend(b, m); err != nil {
			return errors.Wrap(err, "encode message")
		}
	}
	*bp = b
	_, err := w.Write(b)
	return errors.WithStack(err)
}

// ReadMsg reads one message into m. It returns io.EOF only at a message boundary.
func ReadMsg(r *bufio.Reader, m proto.Message) error { return readMsg(r, m, MaxMessage) }

func readMsg(r *bufio.Reader, m proto.Message, limit uint64) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > limit {
		return errors.Errorf("message of %d bytes exceeds %d", size, limit)
	}
	bp := buffers.Get().(*[]byte)
	defer releaseBuffer(bp)
	if uint64(cap(*bp)) < size {
		*bp = make([]byte, size)
	}
	b := (*bp)[:size]
	if _, err := io.ReadFull(r, b); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return errors.Wrap(err, "read message")
	}
	return errors.Wrap(proto.Unmarshal(b, m), "decode message")
}

func releaseBuffer(bp *[]byte) {
	if cap(*bp) <= maxPooledBuffer {
		buffers.Put(bp)
	}
}
