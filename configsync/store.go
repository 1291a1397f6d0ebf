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
	// partsPerTxn keeps requests below etcd's limit of 1.5 MB.
	partsPerTxn = 1
	// retryPause is the wait after a lost reply to a write, before the outcome is read
	// or the write is sent again.
	retryPause = 100 * time.Millisecond
	// maxLoadAttempts limits the attempts to read the parts while changes replace
	// them.
	maxLoadAttempts = 5
	// maxConflictChanges limits the changes that a conflict shows, and the revisions
	// that DeltasSince reads one by one.
	maxConflictChanges = 20
)

// Store reads and writes the configuration in the key-value store.
type Store struct {
	kv infra.KV
}

// NewStore returns a Store that uses kv.
func NewStore(kv infra.KV) *Store { return &Store{kv: kv} }

// StoredConfig is the accepted configuration as read from the store. Head is nil
// if no configuration has been accepted yet.
type StoredConfig struct {
	Head *Head
	Tree []byte
	// item is the stored head. A later change requires that it is still the same.
	item infra.Item
	// StoreRevision is the key-value store's own revision at the time of the read.
	StoreRevision int64
}

// Revision returns the accepted revision, or zero.
func (s *StoredConfig) Revision() uint64 {
	if s.Head == nil {
		return 0
	}
	return s.Head.Revision
}

// Head reads the head without the parts.
func (s *Store) Head(ctx context.Context) (*StoredConfig, error) {
	item, revision, err := s.kv.Get(ctx, HeadKey)
	if errors.Is(err, infra.ErrNotFound) {
		return &StoredConfig{StoreRevision: revision}, nil
	}
	if err != nil {
		return nil, storeError(err, "read the head")
	}
	h, err := ParseHead(item.Value)
	if err != nil {
		return nil, err
	}
	return &StoredConfig{Head: h, item: item, StoreRevision: revision}, nil
}

// Load reads the head and its parts.
func (s *Store) Load(ctx context.Context) (*StoredConfig, error) {
	for attempt := 1; ; attempt++ {
		st, err := s.Head(ctx)
		if err != nil || st.Head == nil {
			return st, err
		}
		st.Tree, err = s.loadTree(ctx, st.Head)
		if err == nil {
			return st, nil
		}
		// A change that was accepted after the head was read has deleted the
		// parts that it replaced.
		if !errors.Is(err, infra.ErrNotFound) || attempt == maxLoadAttempts {
			return nil, storeError(err, "read the parts")
		}
	}
}

// loadTree reads the parts that the head lists and joins them.
func (s *Store) loadTree(ctx context.Context, h *Head) ([]byte, error) {
	parts := make([][]byte, 0, len(h.Parts))
	for _, p := range h.Parts {
		item, _, err := s.kv.Get(ctx, p.key())
		if err != nil {
			return nil, err
		}
		parts = append(parts, item.Value)
	}
	tree, err := joinTree(parts)
	if err != nil {
		return nil, err
	}
	if got := config.Digest(tree); got != h.Digest {
		return nil, errkind.New(errkind.InvalidConfig, "parts of revision %d have digest %.12s, expected %.12s", h.Revision, got, h.Digest)
	}
	return tree, nil
}

// Change is an edit that replaces the whole configuration.
type Change struct {
	// Base is the revision that the edit is based on.
	Base uint64
	// EditID identifies the edit when it is sent again or to another entry.
	EditID string
	Author string
	Config *config.Config
	// AllowNoService allows a configuration that leaves a customer, or all, without a
	// data centre.
	AllowNoService bool
	// ActiveRevision is the revision that is active at the entry. If the store has a
	// lower one, it has lost changes, and Apply fails.
	ActiveRevision uint64
	// HLC is the value of the hybrid logical clock before the change.
	HLC uint64
}

// ApplyResult describes an accepted change. AlreadyAccepted means that the edit id
// was accepted by an earlier call; Tree and Delta are then empty.
type ApplyResult struct {
	Revision        uint64
	AlreadyAccepted bool
	Tree            []byte
	Delta           config.Delta
}

// Apply accepts the change if its base revision is the accepted one, and fails
// with a Conflict otherwise. An edit id takes effect at most once, whichever
// entries it is sent to.
func (s *Store) Apply(ctx context.Context, c Change) (*ApplyResult, error) {
	tree, err := c.Config.Tree()
	if err != nil {
		return nil, err
	}
	if !c.AllowNoService {
		if err := checkAvailability(c.Config); err != nil {
			return nil, err
		}
	}
	return s.applyTree(ctx, c, tree)
}

// applyTree is Apply without the check of availability.
func (s *Store) applyTree(ctx context.Context, c Change, tree []byte) (*ApplyResult, error) {
	done, err := s.findAcceptedEdit(ctx, c.EditID)
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
			"the key-value store has revision %d, below the active revision %d", st.Revision(), c.ActiveRevision)
	case st.Revision() != c.Base:
		return s.acceptedOrConflict(ctx, c, st.Head)
	}
	if st.Tree == nil {
		st.Tree = []byte("{}")
	}
	record, err := newRecord(c, st.Tree, tree)
	if err != nil {
		return nil, err
	}
	parts, err := splitTree(tree)
	if err != nil {
		return nil, err
	}
	all, newParts := partRefs(parts, st.Head, record.Revision)
	if err := s.writeParts(ctx, parts, newParts); err != nil {
		return nil, err
	}
	txn, err := headTxn(st, record, all)
	if err != nil {
		return nil, err
	}
	if err := s.addPruning(ctx, &txn, record.Revision); err != nil {
		return nil, err
	}
	done, err = s.commitUntilKnown(ctx, c, txn)
	if err != nil || done != nil && !s.isStored(ctx, record) {
		return done, err
	}
	return &ApplyResult{Revision: record.Revision, Tree: tree, Delta: record.Delta}, nil
}

// isStored reports whether a change is the accepted one of its revision. Another
// entry may have accepted an edit with the same id and other content.
func (s *Store) isStored(ctx context.Context, r *Record) bool {
	stored, err := s.Record(ctx, r.Revision)
	return err == nil && stored.EditID == r.EditID && stored.Digest == r.Digest
}

// newRecord returns the record of a change between two trees.
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

// writeParts writes the new parts. The key of a part contains its digest, so
// writing it again after a lost reply changes nothing.
func (s *Store) writeParts(ctx context.Context, parts map[string][]byte, newParts []PartRef) error {
	for len(newParts) > 0 {
		n := min(partsPerTxn, len(newParts))
		var txn infra.Txn
		for _, p := range newParts[:n] {
			txn.Puts = append(txn.Puts, infra.Put{Key: p.key(), Value: parts[p.Name]})
		}
		if _, err := s.kv.Commit(ctx, txn); err != nil {
			if !errors.Is(err, infra.ErrUnknownOutcome) || !waitBeforeRetry(ctx) {
				// No head refers to the new parts yet, so the edit has not taken
				// effect, whatever happened to the parts.
				return errkind.From(storeError(err, "write the parts")).WithDidRun(errkind.NotRun)
			}
			continue
		}
		newParts = newParts[n:]
	}
	return nil
}

// headTxn returns the transaction that replaces the head. It requires that the
// head is unchanged and that the key of the edit id does not exist, so that an
// edit that another entry has already applied can't be applied again.
func headTxn(st *StoredConfig, r *Record, parts []PartRef) (infra.Txn, error) {
	head, err := json.Marshal(st.Head.withChange(r.Delta, parts))
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
		Deletes: replacedPartKeys(st.Head, parts),
	}
	return txn, nil
}

// addPruning adds to the transaction the deletion of the record that is now too
// old for the history, and of its edit id.
func (s *Store) addPruning(ctx context.Context, txn *infra.Txn, accepted uint64) error {
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

// commitUntilKnown sends the transaction until its outcome is known or ctx ends.
// After a lost reply it reads the key of the edit id. If that does not exist or
// can't be read, it sends the same transaction again, which is safe because the
// conditions let the transaction take effect only once. If it finds the edit id, it
// returns what is stored under it: this change, or another one with the same id.
func (s *Store) commitUntilKnown(ctx context.Context, c Change, txn infra.Txn) (*ApplyResult, error) {
	for {
		res, err := s.kv.Commit(ctx, txn)
		switch {
		case err == nil && res.Succeeded:
			return nil, nil
		case err != nil && !errors.Is(err, infra.ErrUnknownOutcome):
			return nil, storeError(err, "write the head")
		}
		lostReply := err
		if lostReply != nil && !waitBeforeRetry(ctx) {
			return nil, unknownOutcomeError(lostReply)
		}
		done, err := s.findAcceptedEdit(ctx, c.EditID)
		switch {
		case done != nil:
			return done, nil
		case err != nil && lostReply != nil && ctx.Err() == nil:
			continue
		case err != nil && lostReply == nil:
			return nil, err
		case err != nil:
			return nil, unknownOutcomeError(lostReply)
		}
		if lostReply == nil {
			st, err := s.Head(ctx)
			if err != nil {
				return nil, err
			}
			return nil, s.conflictError(ctx, c, st.Head)
		}
	}
}

// findAcceptedEdit returns the result of an edit that was already accepted, or nil.
func (s *Store) findAcceptedEdit(ctx context.Context, editID string) (*ApplyResult, error) {
	item, _, err := s.kv.Get(ctx, editKey(editID))
	if errors.Is(err, infra.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, storeError(err, "read the edit id")
	}
	revision, err := strconv.ParseUint(string(item.Value), 10, 64)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidConfig, "decode the edit id in the key-value store")
	}
	return &ApplyResult{Revision: revision, AlreadyAccepted: true}, nil
}

// acceptedOrConflict looks up the edit id again, since another entry may have
// accepted the edit after the first lookup. If none has, it returns a conflict.
func (s *Store) acceptedOrConflict(ctx context.Context, c Change, head *Head) (*ApplyResult, error) {
	done, err := s.findAcceptedEdit(ctx, c.EditID)
	if done != nil || err != nil {
		return done, err
	}
	return nil, s.conflictError(ctx, c, head)
}

// conflictError returns a Conflict with the changes since the base revision, at
// most maxConflictChanges. It omits changes that can't be read.
func (s *Store) conflictError(ctx context.Context, c Change, head *Head) error {
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

// storeError wraps an error without a kind as StoreUnavailable and marks the
// operation as not run. It returns other errors unchanged.
func storeError(err error, operation string) error {
	if errkind.KindOf(err) != errkind.Internal {
		return err
	}
	return errkind.Wrap(err, errkind.StoreUnavailable, "%s", operation).WithDidRun(errkind.NotRun)
}

// unknownOutcomeError returns the error of an edit that may have been accepted.
func unknownOutcomeError(err error) error {
	return errkind.Wrap(err, errkind.StoreUnavailable,
		"the outcome of the edit is unknown; retrying it with the same edit id is safe").WithDidRun(errkind.Unknown)
}

// waitBeforeRetry waits for retryPause. It returns false if ctx ends first.
func waitBeforeRetry(ctx context.Context) bool {
	t := time.NewTimer(retryPause)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
