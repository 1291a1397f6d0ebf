package target

import (
	"sync"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// Limits of the tokens that wait while a frame is being written. Together with
// the window of the stream they limit the memory used for a slow caller.
const (
	maxPendingTokens = 64
	maxPendingBytes  = 16 << 10
)

// tokenSender sends tokens in frames. A token is sent at once if no frame is
// being written. Tokens that arrive during a write share the next frame, which
// saves most of the cost of a fast stream.
type tokenSender struct {
	out frameSender

	mu      sync.Mutex
	changed *sync.Cond
	offset  int // of the first pending token
	pending []string
	bytes   int
	closed  bool
	err     error
	done    chan struct{}
}

func newTokenSender(st frameSender) *tokenSender {
	s := &tokenSender{out: st, done: make(chan struct{})}
	s.changed = sync.NewCond(&s.mu)
	go s.run()
	return s
}

// add queues the next token. It blocks while too many tokens are pending, and
// returns the error of an earlier frame.
func (s *tokenSender) add(tok engine.Token) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.err == nil && (len(s.pending) >= maxPendingTokens || s.bytes >= maxPendingBytes) {
		s.changed.Wait()
	}
	if s.err != nil {
		return s.err
	}
	if len(s.pending) == 0 {
		s.offset = tok.Offset
	}
	s.pending = append(s.pending, tok.Text)
	s.bytes += len(tok.Text)
	s.changed.Broadcast()
	return nil
}

// close sends the pending tokens and stops the sender. It returns the error of
// the first frame that could not be sent.
func (s *tokenSender) close() error {
	s.mu.Lock()
	s.closed = true
	s.changed.Broadcast()
	s.mu.Unlock()
	<-s.done
	return s.err
}

func (s *tokenSender) run() {
	defer close(s.done)
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		for len(s.pending) == 0 {
			if s.closed {
				return
			}
			s.changed.Wait()
		}
		tokens := &wirepb.Tokens{Offset: uint32(s.offset), Text: s.pending}
		s.pending, s.bytes = nil, 0
		s.changed.Broadcast()
		s.mu.Unlock()
		err := s.out.Send(&wirepb.Frame{Body: &wirepb.Frame_Tokens{Tokens: tokens}})
		s.mu.Lock()
		if err != nil {
			s.err = err
			s.changed.Broadcast()
			return
		}
	}
}
