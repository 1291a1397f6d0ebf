package ranks

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

const (
	// dialTimeout is the timeout for opening a session with an agent, and
	// redialDelay the pause after it has failed twice in succession. After one
	// failure the session is opened again at once: a process that was paused finds
	// all its sessions timed out, and only agents report the present state.
	dialTimeout = 200 * time.Millisecond
	redialDelay = time.Second
)

// link is the connection to one rank: a session with its agent, and the rank's
// own address.
type link struct {
	mu             sync.Mutex
	agentAddr      string
	session        *wire.Session
	rankAddr       string    // verified by a report; for Hold and Go orders, and while the agent does not reply
	advertisedAddr string    // where the rank receives requests, from its agent's record
	failedAt       time.Time // of the last failure of a session or dial
	failures       int       // of sessions and dials since the last reply
}

// setAgentAddr sets the address of the agent. If it has changed, the session with
// the former address is closed.
func (k *link) setAgentAddr(addr string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.agentAddr == addr {
		return
	}
	k.agentAddr = addr
	if k.session != nil {
		_ = k.session.Close()
		k.session = nil
	}
}

// roundTrip sends one message to the agent and waits for the reply. If no reply
// comes in time, the session is closed, so that a late reply is not taken for
// the reply to the next message.
func (k *link) roundTrip(ctx context.Context, hello *wirepb.Hello, f *wirepb.RankFrame, timeout time.Duration) (*wirepb.RankFrame, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.agentAddr == "" {
		return nil, errors.New("address of the agent is not known")
	}
	if k.session == nil && k.failures > 1 && time.Since(k.failedAt) < redialDelay {
		return nil, errors.New("the last session with the agent failed, waiting before the next dial")
	}
	if k.session == nil {
		dctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		s, err := wire.Dial(dctx, k.agentAddr, nil, hello)
		if err != nil {
			k.recordFailure()
			return nil, err
		}
		k.session = s
	}
	deadline := time.Now().Add(timeout)
	_ = k.session.Control().SetWriteDeadline(deadline)
	_ = k.session.Control().SetReadDeadline(deadline)
	err := k.session.Control().Send(f)
	var reply wirepb.RankFrame
	if err == nil {
		err = k.session.Control().Recv(&reply)
	}
	if err != nil {
		_ = k.session.Close()
		k.session = nil
		k.recordFailure()
		return nil, errors.WithStack(err)
	}
	k.failures = 0
	return &reply, nil
}

// recordFailure records that a session or a dial has failed. The caller holds k.mu.
func (k *link) recordFailure() {
	k.failures++
	k.failedAt = time.Now()
}

// forgetRankAddr drops the address of a rank that does not reply there any
// more.
func (k *link) forgetRankAddr() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rankAddr = ""
}

func (k *link) directAddr() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rankAddr
}
