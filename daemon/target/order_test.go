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

func orderOf(scope string, fencing uint64) *wirepb.Order {
	return &wirepb.Order{Scope: scope, Fencing: fencing, Kind: "load_version"}
}

// Guards against an order of a former coordinator that takes effect, at an
// engine that checks fencing numbers and at one that ignores them.
func TestLowerFencingNumberIsRefused(t *testing.T) {
	for _, checks := range []bool{true, false} {
		m := standin.NewModel(standin.ModelOptions{CheckFencing: checks})
		tg := &Target{model: m.Direct()}
		require.NoError(t, tg.order(orderOf("group-1", 5)))
		require.NoError(t, tg.order(orderOf("group-1", 7)))
		assert.Error(t, tg.order(orderOf("group-1", 6)), "engine checks: %t", checks)
		require.NoError(t, tg.order(orderOf("group-1", 7)))
		assert.Error(t, tg.order(orderOf("group-1", 0)))
		assert.Len(t, m.Orders(), 3)
	}
}

// slowEngine takes long for the first order, unless a second one arrives.
type slowEngine struct {
	engine.Model
	begun  chan struct{}
	second chan struct{}
	mu     sync.Mutex
	done   []uint64
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
	e.done = append(e.done, o.Fencing)
	e.mu.Unlock()
	if o.Fencing == 2 {
		close(e.second)
	}
	return nil
}

// Guards against an order that passed the check before a higher number came
// and takes effect at the engine after it.
func TestOrdersReachEngineInFencingOrder(t *testing.T) {
	e := &slowEngine{begun: make(chan struct{}), second: make(chan struct{})}
	tg := &Target{model: e}
	var wg sync.WaitGroup
	wg.Go(func() { assert.NoError(t, tg.order(orderOf("group-1", 1))) })
	<-e.begun
	require.NoError(t, tg.order(orderOf("group-1", 2)))
	wg.Wait()
	assert.Equal(t, []uint64{1, 2}, e.done)
}

// Guards against an order whose answer is lost on the wire path.
func TestOrderOverSession(t *testing.T) {
	f := start(t)
	st, err := f.session.Open(&wirepb.Open{Body: &wirepb.Open_Order{Order: orderOf("group-1", 1)}})
	require.NoError(t, err)
	require.NoError(t, st.SetReadDeadline(time.Now().Add(5*time.Second)))
	var r wirepb.OrderResult
	require.NoError(t, st.Recv(&r))
	assert.False(t, r.GetAccepted())
	assert.Contains(t, r.GetReason(), "plain service takes no orders")
}

// pausable is the key-value service of a process that can be paused.
type pausable struct {
	infra.KV
	paused chan struct{}
}

func (p *pausable) KeepAlive(ctx context.Context, id infra.LeaseID) (time.Duration, error) {
	<-p.paused
	return p.KV.KeepAlive(ctx, id)
}

// Guards against a coordinator that took its number, was paused past its
// lease, and sends the order when it wakes, to an engine that ignores fencing
// numbers.
func TestPausedCoordinatorOrdersInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := kvstandin.NewKV()
		m := standin.NewModel(standin.ModelOptions{})
		tg := &Target{model: m.Direct()}
		ctx, cancel := context.WithCancel(context.Background())
		old := &pausable{KV: kv.Direct(), paused: make(chan struct{})}
		a := lease.New(lease.Options{KV: old, Key: "lease", HolderID: "a"})
		b := lease.New(lease.Options{KV: kv.Direct(), Key: "lease", HolderID: "b"})
		var wg sync.WaitGroup
		wg.Go(func() { a.Run(ctx) })
		time.Sleep(lease.DefaultStartDelay + time.Second)
		wg.Go(func() { b.Run(ctx) })
		number, valid := a.Token()
		require.True(t, valid)

		time.Sleep(2 * lease.DefaultTTL) // a is paused; its renewals do not go out
		next, valid := b.Token()
		require.True(t, valid)
		require.Greater(t, next, number)
		require.NoError(t, tg.order(orderOf("group-1", next)))
		_, valid = a.Token()
		assert.False(t, valid, "the paused holder must stop by its own clock")
		assert.Error(t, tg.order(orderOf("group-1", number)), "its order was on its way already")
		assert.Len(t, m.Orders(), 1)

		close(old.paused)
		cancel()
		wg.Wait()
	})
}
