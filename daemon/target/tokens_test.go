package target

import (
	"errors"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// blockingSender records frames. Each Send blocks until it receives its result
// from next.
type blockingSender struct {
	next   chan error
	frames []*wirepb.Tokens
}

func (s *blockingSender) Send(m proto.Message) error {
	s.frames = append(s.frames, m.(*wirepb.Frame).GetTokens())
	return <-s.next
}

// Guards against tokens that wait for a later token, are lost or change their
// offset, and against unlimited memory use while a frame is being written.
func TestTokensShareFramesOnlyWhileOneIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &blockingSender{next: make(chan error)}
		s := newTokenSender(sender)
		added := 0
		go func() {
			for i := range 2 * maxPendingTokens {
				assert.NoError(t, s.add(engine.Token{Offset: 5 + i, Text: "t"}))
				added++
			}
		}()
		synctest.Wait()
		require.Len(t, sender.frames, 1, "the first token must not wait")
		first := len(sender.frames[0].GetText())
		assert.Equal(t, first+maxPendingTokens, added, "the number of pending tokens must be limited")
		for range 2 {
			sender.next <- nil
			synctest.Wait()
		}
		close(sender.next)
		require.NoError(t, s.close())
		offset := 5
		for _, f := range sender.frames {
			assert.Equal(t, offset, int(f.GetOffset()))
			offset += len(f.GetText())
		}
		assert.Equal(t, 5+2*maxPendingTokens, offset)
	})
}

// Guards against an engine that continues after a frame could not be sent.
func TestTokenSenderReportsFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &blockingSender{next: make(chan error, 1)}
		lost := errors.New("lost")
		sender.next <- lost
		s := newTokenSender(sender)
		require.NoError(t, s.add(engine.Token{Text: "t"}))
		synctest.Wait()
		require.ErrorIs(t, s.add(engine.Token{Offset: 1, Text: "t"}), lost)
		require.ErrorIs(t, s.close(), lost)
	})
}
