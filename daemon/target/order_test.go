package target

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/engine/standin"
	"github.com/skylarkstep/skylarkstep/infra"
	kvstandin "github.com/skylarkstep/skylarkstep/infra/standin"
	"github.com/skylarkstep/skylarkstep/lease"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

func newOrder(scope string, fencing uint64) *wirepb.Order {
	return &wirepb.Order{Scope: scope, Fencing: fencing, Kind: "load_version"}
}

// Guards against applying an order of a superseded coordinator, at an engine
// that checks fencing numbers and at one that ignores them.
func TestLowerFencingNumberIsRefused(t *testing.T) {
	for _, checks := range []bool{true, false} {
		m := standin.NewModel(standin.ModelOptions{CheckFencing: checks})
		tg := &Target{model: m.Direct()}
		require.NoError(t, tg.applyOrder(newOrder("group-1", 5)))
		require.NoError(t, tg.applyOrder(newOrder("group-1", 7)))
		assert.Error(t, tg.applyOrder(newOrder("group-1", 6)), "engine checks: %t", checks)
		require.NoError(t, tg.applyOrder(newOrder("group-1", 7)))
		assert.Error(t, tg.applyOrder(newOrder("group-1", 0)))
		assert.Len(t, m.Orders(), 3)
	}
}

// slowEngine delays the first order until a second one arrives, for at most
// 50 ms.
type slowEngine struct {
	engine.Model
	begun    chan struct{}
	second   chan struct{}
	mu       sync.Mutex
	received []uint64
}

func (e *slowEngine) Order(_ context.Context, o engine.Order) error {
	if o.Fencing == 1 {
		close(e.begun)
		select {
		case <-e.second:
		case <-time.After(50 * time.Millisecond):
		}
	}
	e.mu.Lock()
	e.received = append(e.received, o.Fencing)
	e.mu.Unlock()
	if o.Fencing == 2 {
		close(e.second)
	}
	return nil
}

// Guards against an order that passes the check before an order with a higher
// number and reaches the engine after it.
func TestOrdersReachEngineInFencingOrder(t *testing.T) {
	e := &slowEngine{begun: make(chan struct{}), second: make(chan struct{})}
	tg := &Target{model: e}
	var wg sync.WaitGroup
	wg.Go(func() { assert.NoError(t, tg.applyOrder(newOrder("group-1", 1))) })
	<-e.begun
	require.NoError(t, tg.applyOrder(newOrder("group-1", 2)))
	wg.Wait()
	assert.Equal(t, []uint64{1, 2}, e.received)
}

// Guards against losing the reply to an order that is sent over a session.
func TestOrderOverSession(t *testing.T) {
	f := startFixture(t)
	st, err := f.session.Open(&wirepb.Open{Body: &wirepb.Open_Order{Order: newOrder("group-1", 1)}})
	require.NoError(t, err)
	require.NoError(t, st.SetReadDeadline(time.Now().Add(5*time.Second)))
	var r wirepb.OrderResult
	require.NoError(t, st.Recv(&r))
	assert.False(t, r.GetAccepted())
	assert.Contains(t, r.GetReason(), "plain service takes no orders")
}

// pausableKV is the key-value store as a paused process uses it: lease renewals
// block until resumed is closed.
type pausableKV struct {
	infra.KV
	resumed chan struct{}
}

func (p *pausableKV) KeepAlive(ctx context.Context, id infra.LeaseID) (time.Duration, error) {
	<-p.resumed
	return p.KV.KeepAlive(ctx, id)
}

// Guards against applying the order of a coordinator that acquired its fencing
// number, was paused until its lease had expired, and sends the order when it
// resumes, to an engine that ignores fencing numbers.
func TestOrderOfPausedCoordinatorIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := kvstandin.NewKV()
		m := standin.NewModel(standin.ModelOptions{})
		tg := &Target{model: m.Direct()}
		ctx, cancel := context.WithCancel(context.Background())
		pausedKV := &pausableKV{KV: kv.Direct(), resumed: make(chan struct{})}
		a := lease.New(lease.Options{KV: pausedKV, Key: "lease", HolderID: "a"})
		b := lease.New(lease.Options{KV: kv.Direct(), Key: "lease", HolderID: "b"})
		var wg sync.WaitGroup
		wg.Go(func() { a.Run(ctx) })
		time.Sleep(lease.DefaultStartDelay + time.Second)
		wg.Go(func() { b.Run(ctx) })
		number, valid := a.Token()
		require.True(t, valid)

		time.Sleep(2 * lease.DefaultTTL) // a is paused and sends no renewals
		next, valid := b.Token()
		require.True(t, valid)
		require.Greater(t, next, number)
		require.NoError(t, tg.applyOrder(newOrder("group-1", next)))
		_, valid = a.Token()
		assert.False(t, valid, "the paused holder must see by its own clock that the lease has expired")
		assert.Error(t, tg.applyOrder(newOrder("group-1", number)), "an order of the superseded coordinator must be refused")
		assert.Len(t, m.Orders(), 1)

		close(pausedKV.resumed)
		cancel()
		wg.Wait()
	})
}
