package configsync

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra"
)

// Record reads one change of the history. The error is of kind InvalidRequest if
// the history does not contain the revision.
func (s *Store) Record(ctx context.Context, revision uint64) (*Record, error) {
	item, _, err := s.kv.Get(ctx, deltaKey(revision))
	if errors.Is(err, infra.ErrNotFound) {
		return nil, errkind.New(errkind.InvalidRequest, "revision %d is not in the history", revision)
	}
	if err != nil {
		return nil, storeError(err, "read the history")
	}
	var r Record
	if err := json.Unmarshal(item.Value, &r); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidConfig, "decode a record of the history in the key-value store")
	}
	return &r, nil
}

// History returns up to limit changes, newest first. It returns fewer if older
// ones have been deleted from the history.
func (s *Store) History(ctx context.Context, limit int) ([]*Record, error) {
	st, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	var list []*Record
	for r := st.Revision(); r > 0 && len(list) < limit; r-- {
		rec, err := s.Record(ctx, r)
		if errkind.KindOf(err) == errkind.InvalidRequest {
			break
		}
		if err != nil {
			return nil, err
		}
		list = append(list, rec)
	}
	return list, nil
}

// TreeAt returns the tree of an earlier revision. It computes it by undoing the
// later changes.
func (s *Store) TreeAt(ctx context.Context, revision uint64) ([]byte, error) {
	st, err := s.Load(ctx)
	if err != nil {
		return nil, err
	}
	if revision == 0 || revision > st.Revision() {
		return nil, errkind.New(errkind.InvalidRequest, "revision %d does not exist, the accepted revision is %d", revision, st.Revision())
	}
	tree := st.Tree
	for r := st.Revision(); r > revision; r-- {
		rec, err := s.Record(ctx, r)
		if err != nil {
			return nil, err
		}
		if rec.Oversized {
			return nil, errkind.New(errkind.InvalidRequest, "the change of revision %d is too large to be undone; apply the earlier document instead", r)
		}
		if tree, err = config.Patch(tree, rec.Reverse); err != nil {
			return nil, err
		}
	}
	return tree, nil
}

// Rollback applies the content of an earlier revision as a new revision.
func (s *Store) Rollback(ctx context.Context, to uint64, c Change) (*ApplyResult, error) {
	done, err := s.findAcceptedEdit(ctx, c.EditID)
	if done != nil || err != nil {
		return done, err
	}
	tree, err := s.TreeAt(ctx, to)
	if err != nil {
		return nil, err
	}
	if c.Config, err = config.FromTree(tree, 0); err != nil {
		return nil, err
	}
	return s.Apply(ctx, c)
}

// DeltasSince returns the deltas after a revision up to the head. It fails with
// kind InvalidRequest if there are too many, one is oversized or one is no longer
// in the history; the caller then loads the whole tree.
func (s *Store) DeltasSince(ctx context.Context, from uint64, h *Head) ([]config.Delta, error) {
	if len(h.Deltas) > 0 && h.Deltas[0].Revision <= from+1 {
		return h.Deltas, nil
	}
	if h.Revision-from > maxConflictChanges {
		return nil, errkind.New(errkind.InvalidRequest, "%d revisions behind", h.Revision-from)
	}
	var list []config.Delta
	for r := from + 1; r <= h.Revision; r++ {
		rec, err := s.Record(ctx, r)
		if err != nil {
			return nil, err
		}
		if rec.Oversized {
			return nil, errkind.New(errkind.InvalidRequest, "the delta of revision %d is too large, load the whole tree", r)
		}
		list = append(list, rec.Delta)
	}
	return list, nil
}
