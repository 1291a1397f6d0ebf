package configsync

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra"
)

const (
	// partsPerTxn stays below etcd's limit of 1.5 MB for a request.
	partsPerTxn = 1
	// resolvePause is the time between two reads that resolve a lost reply.
	resolvePause = 100 * time.Millisecond
	// maxLoads bounds the tries to read parts while changes replace them.
	maxLoads = 5
	// maxConflictChanges bounds the changes that a conflict shows.
	maxConflictChanges = 20
)

// Store is the configuration at the key-value service.
type Store struct {
	kv infra.KV
}

// NewStore returns the configuration kept in kv.
func NewStore(kv infra.KV) *Store { return &Store{kv: kv} }

// StoredConfig is what is accepted: the head with its tree. The zero StoredConfig means that
// nothing is accepted yet.
type StoredConfig struct {
	Head *Head
	Tree []byte
	item infra.Item
	// StoreRevision is that of the key-value service at the read.
	StoreRevision int64
}

// Revision returns the accepted revision.
func (s *StoredConfig) Revision() uint64 {
	if s.Head == nil {
		return 0
	}
	return s.Head.Revision
}

// Head reads the head without its parts.
func (s *Store) Head(ctx context.Context) (*StoredConfig, error) {
	item, revision, err := s.kv.Get(ctx, HeadKey)
	if errors.Is(err, infra.ErrNotFound) {
		return &StoredConfig{StoreRevision: revision}, nil
	}
	if err != nil {
		return nil, unavailable(err, "read the head")
	}
	h, err := ParseHead(item.Value)
	if err != nil {
		return nil, err
	}
	return &StoredConfig{Head: h, item: item, StoreRevision: revision}, nil
}

// Load reads the head and its parts.
func (s *Store) Load(ctx context.Context) (*StoredConfig, error) {
	for try := 1; ; try++ {
		st, err := s.Head(ctx)
		if err != nil || st.Head == nil {
			return st, err
		}
		st.Tree, err = s.tree(ctx, st.Head)
		if err == nil {
			return st, nil
		}
		// A change that is accepted after the read of the head deletes the
		// parts that it replaces.
		if !errors.Is(err, infra.ErrNotFound) || try == maxLoads {
			return nil, unavailable(err, "read the parts")
		}
	}
}

func (s *Store) tree(ctx context.Context, h *Head) ([]byte, error) {
	parts := make([][]byte, 0, len(h.Parts))
	for _, p := range h.Parts {
		item, _, err := s.kv.Get(ctx, p.key())
		if err != nil {
			return nil, err
		}
		parts = append(parts, item.Value)
	}
	tree, err := join(parts)
	if err != nil {
		return nil, err
	}
	if got := config.Digest(tree); got != h.Digest {
		return nil, errkind.New(errkind.InvalidConfig, "parts of revision %d have digest %.12s, expected %.12s", h.Revision, got, h.Digest)
	}
	return tree, nil
}

// Change is one edit of the whole configuration.
type Change struct {
	Base           uint64
	EditID         string
	Author         string
	Config         *config.Config
	AllowNoService bool
	// ActiveRevision is the revision in force at the entry. A store that shows a lower
	// one has lost changes and accepts nothing.
	ActiveRevision uint64
	// HLC is the reading of the hybrid logical clock before the change.
	HLC uint64
}

// ApplyResult tells the revision of an accepted change. Already says that the
// edit id was accepted before.
type ApplyResult struct {
	Revision        uint64
	AlreadyAccepted bool
	Tree            []byte
	Delta           config.Delta
}

// Apply accepts the change if its base revision is the accepted one. An edit
// id takes effect at most once, whichever entry it is sent to.
func (s *Store) Apply(ctx context.Context, c Change) (*ApplyResult, error) {
	tree, err := c.Config.Tree()
	if err != nil {
		return nil, err
	}
	if !c.AllowNoService {
		if err := checkService(c.Config); err != nil {
			return nil, err
		}
	}
	return s.applyTree(ctx, c, tree)
}

func (s *Store) applyTree(ctx context.Context, c Change, tree []byte) (*ApplyResult, error) {
	done, err := s.acceptedBefore(ctx, c.EditID)
	if done != nil || err != nil {
		return done, err
	}
	st, err := s.Load(ctx)
	if err != nil {
		return nil, err
	}
	switch {
	case st.Revision() < c.ActiveRevision:
		return nil, errkind.New(errkind.RevisionStale,
			"the key-value service shows revision %d, below revision %d in force", st.Revision(), c.ActiveRevision)
	case st.Revision() != c.Base:
		return s.conflictUnlessAccepted(ctx, c, st.Head)
	}
	if st.Tree == nil {
		st.Tree = []byte("{}")
	}
	record, err := newRecord(c, st.Tree, tree)
	if err != nil {
		return nil, err
	}
	parts, err := split(tree)
	if err != nil {
		return nil, err
	}
	all, fresh := refs(parts, st.Head, record.Revision)
	if err := s.writeParts(ctx, parts, fresh); err != nil {
		return nil, err
	}
	txn, err := commitTxn(st, record, all)
	if err != nil {
		return nil, err
	}
	if err := s.prune(ctx, &txn, record.Revision); err != nil {
		return nil, err
	}
	if err := s.commit(ctx, c, txn); err != nil {
		return nil, err
	}
	return &ApplyResult{Revision: record.Revision, Tree: tree, Delta: record.Delta}, nil
}

func newRecord(c Change, from, to []byte) (*Record, error) {
	patch, err := config.Diff(from, to)
	if err != nil {
		return nil, err
	}
	reverse, err := config.Diff(to, from)
	if err != nil {
		return nil, err
	}
	return &Record{Reverse: reverse, Delta: config.Delta{
		Revision: c.Base + 1, EditID: c.EditID, Author: c.Author, Time: time.Now().UTC(),
		Patch: patch, Digest: config.Digest(to), HLC: c.HLC,
	}}, nil
}

// writeParts writes new values. The key holds the digest, so that writing a
// part twice after a lost reply changes nothing.
func (s *Store) writeParts(ctx context.Context, parts map[string][]byte, fresh []PartRef) error {
	for len(fresh) > 0 {
		n := min(partsPerTxn, len(fresh))
		var txn infra.Txn
		for _, p := range fresh[:n] {
			txn.Puts = append(txn.Puts, infra.Put{Key: p.key(), Value: parts[p.Name]})
		}
		if _, err := s.kv.Commit(ctx, txn); err != nil {
			if !errors.Is(err, infra.ErrUnknownOutcome) {
				return unavailable(err, "write the parts")
			}
			if !pause(ctx) {
				// Nothing refers to the parts yet.
				return unavailable(err, "write the parts")
			}
			continue
		}
		fresh = fresh[n:]
	}
	return nil
}

// commitTxn swaps the head. The edit key must not exist, so that an edit id
// that reached the store by another entry can't be applied again.
func commitTxn(st *StoredConfig, r *Record, parts []PartRef) (infra.Txn, error) {
	head, err := json.Marshal(st.Head.next(r.Delta, parts))
	if err != nil {
		return infra.Txn{}, errors.WithStack(err)
	}
	record, err := r.encode()
	if err != nil {
		return infra.Txn{}, err
	}
	txn := infra.Txn{
		Conditions: []infra.Condition{{Key: HeadKey, ModRevision: st.item.ModRevision}, {Key: editKey(r.EditID)}},
		Puts: []infra.Put{
			{Key: HeadKey, Value: head},
			{Key: deltaKey(r.Revision), Value: record},
			{Key: editKey(r.EditID), Value: []byte(strconv.FormatUint(r.Revision, 10))},
		},
		Deletes: replaced(st.Head, parts),
	}
	return txn, nil
}

// prune deletes the record that leaves the history, with its edit id.
func (s *Store) prune(ctx context.Context, txn *infra.Txn, accepted uint64) error {
	if accepted <= historyLength {
		return nil
	}
	old, err := s.Record(ctx, accepted-historyLength)
	if errkind.KindOf(err) == errkind.InvalidRequest {
		return nil
	}
	if err != nil {
		return err
	}
	txn.Deletes = append(txn.Deletes, deltaKey(old.Revision), editKey(old.EditID))
	return nil
}

// commit runs the transaction until its outcome is known. After a lost reply
// it reads the edit key; if that is absent, the same transaction may be sent
// again, since its conditions let it take effect only once.
func (s *Store) commit(ctx context.Context, c Change, txn infra.Txn) error {
	for {
		res, err := s.kv.Commit(ctx, txn)
		switch {
		case err == nil && res.Succeeded:
			return nil
		case err != nil && !errors.Is(err, infra.ErrUnknownOutcome):
			return unavailable(err, "write the head")
		}
		lost := err
		if lost != nil && !pause(ctx) {
			return unknown(lost)
		}
		done, err := s.acceptedBefore(ctx, c.EditID)
		switch {
		case done != nil:
			return nil
		case err != nil && lost != nil && ctx.Err() == nil:
			continue
		case err != nil && lost == nil:
			return err
		case err != nil:
			return unknown(lost)
		}
		if lost == nil {
			st, err := s.Head(ctx)
			if err != nil {
				return err
			}
			return s.conflict(ctx, c, st.Head)
		}
	}
}

// acceptedBefore looks the edit id up.
func (s *Store) acceptedBefore(ctx context.Context, editID string) (*ApplyResult, error) {
	item, _, err := s.kv.Get(ctx, editKey(editID))
	if errors.Is(err, infra.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, unavailable(err, "read the edit id")
	}
	revision, err := strconv.ParseUint(string(item.Value), 10, 64)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidConfig, "edit id at the key-value service")
	}
	return &ApplyResult{Revision: revision, AlreadyAccepted: true}, nil
}

// conflictUnlessAccepted looks the edit id up once more, since the change may
// have been accepted by another entry after the first look.
func (s *Store) conflictUnlessAccepted(ctx context.Context, c Change, head *Head) (*ApplyResult, error) {
	done, err := s.acceptedBefore(ctx, c.EditID)
	if done != nil || err != nil {
		return done, err
	}
	return nil, s.conflict(ctx, c, head)
}

// conflict shows what other edits changed since the base revision.
func (s *Store) conflict(ctx context.Context, c Change, head *Head) error {
	x := &Conflict{Base: c.Base}
	if head != nil {
		x.Accepted = head.Revision
	}
	for r := c.Base + 1; r <= x.Accepted && len(x.Changes) < maxConflictChanges; r++ {
		if rec, err := s.Record(ctx, r); err == nil {
			x.Changes = append(x.Changes, rec.Delta)
		}
	}
	return errkind.Wrap(x, errkind.RevisionConflict, "%s", x.Error())
}

func unavailable(err error, what string) error {
	if errkind.KindOf(err) != errkind.Internal {
		return err
	}
	return errkind.Wrap(err, errkind.StoreUnavailable, "%s", what).WithDidRun(errkind.NotRun)
}

func unknown(err error) error {
	return errkind.Wrap(err, errkind.StoreUnavailable,
		"the outcome of the edit is not known; repeating it under the same edit id is safe").WithDidRun(errkind.Unknown)
}

func pause(ctx context.Context) bool {
	t := time.NewTimer(resolvePause)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
