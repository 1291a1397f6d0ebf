package configsync

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/standin"
)

// interruptedKV calls before once, directly before the first commit whose puts
// have a key with the prefix.
type interruptedKV struct {
	infra.KV
	prefix string
	before func()
}

func (k *interruptedKV) Commit(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	if before := k.before; before != nil && strings.HasPrefix(txn.Puts[0].Key, k.prefix) {
		k.before = nil
		before()
	}
	return k.KV.Commit(ctx, txn)
}

// Guards against an entry that makes a configuration active which was never
// accepted: another entry has accepted an edit with the same id and other content
// between the check of the id and the write.
func TestSameEditIDWithOtherContent(t *testing.T) {
	for _, intermediate := range []int{0, 1} {
		kv := standin.NewKV()
		ctx := context.Background()
		other := NewStore(kv.Direct())
		_, err := other.Apply(ctx, change(0, "first", sampleConfig(1)))
		require.NoError(t, err)
		s := NewStore(&interruptedKV{KV: kv.Direct(), prefix: HeadKey, before: func() {
			for i := range intermediate {
				_, err := other.Apply(ctx, change(uint64(1+i), "intermediate", sampleConfig(4)))
				require.NoError(t, err)
			}
			_, err := other.Apply(ctx, change(uint64(1+intermediate), "same", sampleConfig(2, "burgos")))
			require.NoError(t, err)
		}})
		a, err := s.Apply(ctx, change(1, "same", sampleConfig(3, "vitoria")))
		require.NoError(t, err)
		require.True(t, a.AlreadyAccepted, "the result carries content that was not accepted")
		require.Equal(t, uint64(2+intermediate), a.Revision)
		require.Empty(t, a.Tree)
	}
}

// Guards against an operator who must find out whether an edit was accepted
// although it cannot have been: its parts were not written.
func TestEditWithoutPartsDidNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := standin.NewKV()
		_, err := NewStore(kv.Direct()).Apply(t.Context(), change(0, "first", sampleConfig(1)))
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := NewStore(&interruptedKV{KV: kv.Direct(), before: func() {
			kv.DropReplies(1)
			cancel()
		}})
		_, err = s.Apply(ctx, change(1, "second", sampleConfig(2, "burgos")))
		require.Error(t, err)
		require.Equal(t, errkind.NotRun, errkind.From(err).DidRun, "%v", err)
	})
}
