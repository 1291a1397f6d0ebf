package target

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/daemon/node"
	"github.com/skylarkstep/skylarkstep/engine"
)

// Guards against reporting a group as stalled because it has no work or because
// this process was paused, and against missing a group that is stalled.
func TestGroupProgress(t *testing.T) {
	var p progress
	require.Nil(t, p.report("g1"), "no report before the first probe")
	p.addProbe(engine.GroupProgress{Step: 5}, nil, time.Hour)
	require.Zero(t, p.report("g1").GetLastStepAgeMs())
	for range 4 {
		p.addProbe(engine.GroupProgress{Step: 5}, nil, groupProbeInterval)
	}
	p.addProbe(engine.GroupProgress{}, errors.New("no reply"), groupOrderTimeout)
	require.Equal(t, uint64(3000), p.report("g1").GetLastStepAgeMs())
	require.Equal(t, uint64(5), p.report("g1").GetStep())
	p.addProbe(engine.GroupProgress{Step: 5, Idle: true}, nil, groupProbeInterval)
	require.Zero(t, p.report("g1").GetLastStepAgeMs())
	p.addProbe(engine.GroupProgress{Step: 1}, nil, groupProbeInterval)
	require.Zero(t, p.report("g1").GetLastStepAgeMs(), "a new generation may count lower steps")
}

// stalledGroup is a group that makes no step.
type stalledGroup struct{ engine.Group }

func (stalledGroup) Progress(context.Context) (engine.GroupProgress, error) {
	return engine.GroupProgress{Step: 7}, nil
}

// Guards against a group that counts as healthy during a planned stop although
// it has stalled: entries would wait for its responses until their deadlines.
func TestStalledGroupIsReportedDuringStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &config.Settings{Role: config.RoleTarget, Name: "lm-1", ClusterKey: testKey, StopTimeoutMs: 20000,
			Target: config.TargetSettings{Backend: "lm", Kind: config.KindModel, Group: "g1"}}
		target := New(Options{Settings: s, Node: node.New(s, io.Discard), Group: stalledGroup{}})
		ctx, stop := context.WithCancel(t.Context())
		listener := &blockingListener{closed: make(chan struct{})}
		done := make(chan struct{})
		go func() {
			defer close(done)
			assert.NoError(t, target.Run(ctx, listener))
		}()
		require.True(t, target.work.Begin())
		time.Sleep(time.Second)
		stop()
		time.Sleep(5 * time.Second)
		require.GreaterOrEqual(t, target.heartbeat().GetGroup().GetLastStepAgeMs(), uint64(5000))
		target.work.End()
		<-done
	})
}

// blockingListener accepts no connections until it is closed.
type blockingListener struct {
	net.Listener
	closed chan struct{}
}

func (l *blockingListener) Accept() (net.Conn, error) {
	<-l.closed
	return nil, net.ErrClosed
}

func (l *blockingListener) Close() error {
	close(l.closed)
	return nil
}
