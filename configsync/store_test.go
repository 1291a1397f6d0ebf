package configsync

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra/standin"
)

// sampleConfig returns a configuration with n customers and three data centres, of
// which the given ones are out of service.
func sampleConfig(n int, out ...string) *config.Config {
	c := &config.Config{}
	c.Inventory.Regions = []config.Region{{Name: "ebro"}}
	c.Inventory.Backends = []config.Backend{{Name: "app", Kind: config.KindService}}
	for i, dc := range []string{"burgos", "vitoria", "logrono"} {
		c.Inventory.DataCentres = append(c.Inventory.DataCentres, config.DataCentre{Name: dc, Region: "ebro"})
		c.Inventory.Entries = append(c.Inventory.Entries, config.Entry{
			Name: "entry-" + dc, DataCentre: dc, HTTPAddr: fmt.Sprintf("127.0.0.1:%d", 100+i), PeerAddr: fmt.Sprintf("127.0.0.1:%d", 200+i),
		})
	}
	for i := range n {
		c.Inventory.Customers = append(c.Inventory.Customers, config.Customer{
			Name: fmt.Sprintf("customer-%d", i), KeySHA256: []string{config.Digest([]byte{byte(i)})},
		})
	}
	c.Rules.DataCentresOut = out
	return c
}

func change(base uint64, id string, c *config.Config) Change {
	return Change{Base: base, EditID: id, Author: "ana", Config: c}
}

// Guards against accepting two concurrent edits with the same base revision, and
// against a conflict that does not show the changes of the other edit.
func TestRacingEditsGiveOneRevision(t *testing.T) {
	s := NewStore(standin.NewKV().Direct())
	ctx := context.Background()
	_, err := s.Apply(ctx, change(0, "first", sampleConfig(1)))
	require.NoError(t, err)
	var wg sync.WaitGroup
	errs := make([]error, 8)
	for i := range errs {
		wg.Go(func() {
			c := sampleConfig(1, "burgos")
			c.Rules.AddressTTLMs = 1000 + i
			_, errs[i] = s.Apply(ctx, change(1, fmt.Sprintf("race-%d", i), c))
		})
	}
	wg.Wait()
	accepted := 0
	for _, err := range errs {
		if err == nil {
			accepted++
			continue
		}
		var x *Conflict
		require.Equal(t, errkind.RevisionConflict, errkind.KindOf(err), "%v", err)
		require.ErrorAs(t, err, &x)
		require.Len(t, x.Changes, 1)
		assert.Contains(t, err.Error(), "address_ttl_ms")
	}
	assert.Equal(t, 1, accepted)
	st, err := s.Load(ctx)
	require.NoError(t, err)
	assert.Equal(t, uint64(2), st.Revision())
}

// Guards against an edit that is applied twice or reported as failed because the
// reply to one of its writes was lost.
func TestLostReplyOnApply(t *testing.T) {
	for lost := range 4 {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := standin.NewKV()
				s := NewStore(kv.Direct())
				ctx := context.Background()
				_, err := s.Apply(ctx, change(0, "first", sampleConfig(1)))
				require.NoError(t, err)
				kv.DropReplies(lost)
				next := sampleConfig(2, "burgos")
				a, err := s.Apply(ctx, change(1, "second", next))
				require.NoError(t, err)
				assert.Equal(t, uint64(2), a.Revision)
				// The operator received no response and retries at another entry.
				a, err = NewStore(kv.Direct()).Apply(ctx, change(1, "second", next))
				require.NoError(t, err)
				assert.True(t, a.AlreadyAccepted)
				assert.Equal(t, uint64(2), a.Revision)
			})
		})
	}
}

// Guards against a wrong result when the reply is lost and another edit is
// accepted before the outcome is read.
func TestLostReplyThenAnotherEdit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := standin.NewKV()
		s := NewStore(kv.Direct())
		ctx := context.Background()
		_, err := s.Apply(ctx, change(0, "first", sampleConfig(1)))
		require.NoError(t, err)
		kv.DropReplies(2) // the write of the part, then the head
		result := make(chan error, 1)
		go func() {
			a, err := s.Apply(ctx, change(1, "second", sampleConfig(1, "burgos")))
			if err == nil && a.Revision != 2 {
				err = fmt.Errorf("revision %d", a.Revision)
			}
			result <- err
		}()
		for {
			st, err := s.Head(ctx)
			require.NoError(t, err)
			if st.Revision() == 2 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		_, err = s.Apply(ctx, change(2, "third", sampleConfig(1, "vitoria")))
		require.NoError(t, err)
		require.NoError(t, <-result)
	})
}

// Guards against an edit that is reported as accepted or rejected although its
// outcome is unknown.
func TestOutcomeUnknownWhenServiceStaysDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := standin.NewKV()
		s := NewStore(kv.Direct())
		_, err := s.Apply(context.Background(), change(0, "first", sampleConfig(1)))
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		time.AfterFunc(time.Millisecond, func() { kv.SetStall(true) })
		kv.SetLatency(400 * time.Microsecond)
		_, err = s.Apply(ctx, change(1, "second", sampleConfig(1, "burgos")))
		require.Equal(t, errkind.StoreUnavailable, errkind.KindOf(err), "%v", err)
		kv.SetStall(false)
		a, err := s.Apply(context.Background(), change(1, "second", sampleConfig(1, "burgos")))
		require.NoError(t, err)
		assert.Equal(t, uint64(2), a.Revision)
	})
}

// Guards against a rollback that decreases the revision or restores content other
// than that of the earlier revision.
func TestRollbackIsANewRevision(t *testing.T) {
	s := NewStore(standin.NewKV().Direct())
	ctx := context.Background()
	var trees [][]byte
	for i := range 30 {
		c := sampleConfig(300 - 10*i)
		c.Rules.AddressTTLMs = 1000 + i
		a, err := s.Apply(ctx, change(uint64(i), fmt.Sprintf("edit-%d", i), c))
		require.NoError(t, err)
		trees = append(trees, a.Tree)
	}
	a, err := s.Rollback(ctx, 2, Change{Base: 30, EditID: "back", Author: "ana"})
	require.NoError(t, err)
	assert.Equal(t, uint64(31), a.Revision)
	st, err := s.Load(ctx)
	require.NoError(t, err)
	assert.JSONEq(t, string(trees[1]), string(st.Tree))
	history, err := s.History(ctx, 5)
	require.NoError(t, err)
	require.Len(t, history, 5)
	assert.Equal(t, "back", history[0].EditID)

	again, err := s.Rollback(ctx, 2, Change{Base: 30, EditID: "back", Author: "ana"})
	require.NoError(t, err)
	assert.True(t, again.AlreadyAccepted)
}

// Guards against accepting a change that leaves a customer, or all, without a data
// centre although the operator has not allowed it.
func TestNoServiceNeedsExplicitConsent(t *testing.T) {
	s := NewStore(standin.NewKV().Direct())
	ctx := context.Background()
	all := sampleConfig(1, "burgos", "vitoria", "logrono")
	bound := sampleConfig(1, "burgos")
	bound.Rules.Serve = []config.ServeRule{{Customer: "customer-0", DataCentres: []string{"burgos"}}}
	for name, c := range map[string]*config.Config{"last data centre": all, "customer": bound} {
		_, err := s.Apply(ctx, change(0, "edit-"+name, c))
		assert.Equal(t, errkind.InvalidConfig, errkind.KindOf(err), name)
	}
	x := change(0, "edit", bound)
	x.AllowNoService = true
	_, err := s.Apply(ctx, x)
	assert.NoError(t, err)
}

// Guards against accepting edits on a store that has lost changes: a revision that
// is already active would get other content.
func TestApplyRefusedWhenStoreIsRolledBack(t *testing.T) {
	kv := standin.NewKV()
	s := NewStore(kv.Direct())
	ctx := context.Background()
	_, err := s.Apply(ctx, change(0, "first", sampleConfig(1)))
	require.NoError(t, err)
	backup := kv.Revision()
	_, err = s.Apply(ctx, change(1, "second", sampleConfig(2)))
	require.NoError(t, err)
	require.NoError(t, kv.Rollback(backup))
	x := change(1, "third", sampleConfig(3))
	x.ActiveRevision = 2
	_, err = s.Apply(ctx, x)
	assert.Equal(t, errkind.RevisionStale, errkind.KindOf(err))
}

// Guards against values near the limit of 1 MB and against deltas that contain
// whole lists. The deployment is planned for this size: 10,000 targets and 570
// customers.
func TestSizesAtScale(t *testing.T) {
	kv := standin.NewKV()
	s := NewStore(kv.Direct())
	ctx := context.Background()
	c := sampleConfig(570)
	for i := range 10000 {
		c.Inventory.Targets = append(c.Inventory.Targets, config.Target{
			Name: fmt.Sprintf("app-%05d", i), Backend: "app", DataCentre: "burgos", PeerAddr: fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256),
		})
	}
	_, err := s.Apply(ctx, change(0, "first", c))
	require.NoError(t, err)
	c.Rules.TargetsLeaving = []string{"app-00007"}
	a, err := s.Apply(ctx, change(1, "second", c))
	require.NoError(t, err)
	assert.Less(t, len(a.Delta.Patch), 300)
	st, err := s.Head(ctx)
	require.NoError(t, err)
	head, err := json.Marshal(st.Head)
	require.NoError(t, err)
	assert.Less(t, len(head), 64<<10)
}
