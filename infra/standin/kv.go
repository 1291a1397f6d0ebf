package standin

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/internal/gateway"
)

// maxHistoryChanges limits the changes kept for watches and Rollback, so that a
// long load run does not fill the memory. Older ones are compacted.
const maxHistoryChanges = 10000

// change is an event of the history with its revision.
type change struct {
	revision int64
	event    gateway.WatchEvent
}

// leaseState is a lease that has not ended. Its timer fires at the deadline.
type leaseState struct {
	ttl      time.Duration
	deadline time.Time
	timer    *time.Timer
}

// KV is a stand-in of the key-value store. It is an http.Handler that implements
// etcd's JSON gateway.
type KV struct {
	Faults

	// restoring is held for writing by Restore and for reading by calls, so that a
	// call runs in one era.
	restoring sync.RWMutex

	mu                sync.Mutex
	revision          int64
	items             map[string]gateway.KeyValue
	compactedItems    map[string]gateway.KeyValue // the items at compactedRevision
	compactedRevision int64
	history           []change
	leases            map[int64]*leaseState
	nextLease         int64
	era               int64         // number of calls of Restore
	changeSignal      chan struct{} // closed and replaced at each change
	watchBreak        chan struct{} // closed and replaced to break all watches
	calls             map[string]int
}

// NewKV returns an empty stand-in at revision 1, like a new etcd.
func NewKV() *KV {
	return &KV{
		revision: 1, items: map[string]gateway.KeyValue{}, compactedItems: map[string]gateway.KeyValue{},
		leases: map[int64]*leaseState{}, nextLease: 1000, calls: map[string]int{},
		changeSignal: make(chan struct{}), watchBreak: make(chan struct{}),
	}
}

// Calls returns the number of calls by kind: range, txn, grant, keepalive, revoke
// and watch. An open watch counts as one call.
func (k *KV) Calls() map[string]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.calls)
}

func (k *KV) countCall(kind string) {
	k.mu.Lock()
	k.calls[kind]++
	k.mu.Unlock()
}

// Revision returns the revision of the store.
func (k *KV) Revision() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.revision
}

// ExpireLease ends a lease before its TTL has passed.
func (k *KV) ExpireLease(id infra.LeaseID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.endLease(id.Number)
}

// BreakWatches ends all watches, as a restart of the store does.
func (k *KV) BreakWatches() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.breakWatches()
}

func (k *KV) breakWatches() {
	close(k.watchBreak)
	k.watchBreak = make(chan struct{})
}

// Compact removes the changes up to the revision from the history.
func (k *KV) Compact(revision int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.compact(min(revision, k.revision))
}

func (k *KV) compact(revision int64) {
	n := 0
	for n < len(k.history) && k.history[n].revision <= revision {
		applyEvent(k.compactedItems, k.history[n].event)
		n++
	}
	k.history = slices.Clone(k.history[n:])
	k.compactedRevision = max(k.compactedRevision, revision)
}

// Rollback resets the keys and the revision of the store to an older revision, as
// restoring a backup does, and ends all watches. Leases stay.
func (k *KV) Rollback(revision int64) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if revision < max(k.compactedRevision, 1) || revision > k.revision {
		return fmt.Errorf("revision %d is not between %d and %d", revision, max(k.compactedRevision, 1), k.revision)
	}
	k.items = maps.Clone(k.compactedItems)
	n := 0
	for n < len(k.history) && k.history[n].revision <= revision {
		applyEvent(k.items, k.history[n].event)
		n++
	}
	k.history, k.revision = k.history[:n], revision
	k.breakWatches()
	return nil
}

// applyEvent applies a change to a set of items.
func applyEvent(items map[string]gateway.KeyValue, e gateway.WatchEvent) {
	if e.Type == gateway.DeleteEvent {
		delete(items, string(e.Kv.Key))
	} else {
		items[string(e.Kv.Key)] = e.Kv
	}
}

// recordChange applies a change at the given revision and adds it to the history.
func (k *KV) recordChange(revision int64, e gateway.WatchEvent) {
	applyEvent(k.items, e)
	k.history = append(k.history, change{revision, e})
	k.revision = revision
}

// notifyWatches notifies the watches of new changes, and compacts the history if it
// is too long.
func (k *KV) notifyWatches() {
	if len(k.history) > maxHistoryChanges {
		k.compact(k.history[len(k.history)-maxHistoryChanges/2].revision)
	}
	close(k.changeSignal)
	k.changeSignal = make(chan struct{})
}

func (k *KV) header() gateway.Header { return gateway.Header{Revision: k.revision, Era: k.era} }

func (k *KV) readRange(r gateway.RangeRequest) gateway.RangeResponse {
	k.mu.Lock()
	defer k.mu.Unlock()
	reply := gateway.RangeResponse{Header: k.header()}
	for _, kv := range k.items {
		if inRange(kv.Key, r.Key, r.RangeEnd) {
			reply.Kvs = append(reply.Kvs, kv)
		}
	}
	slices.SortFunc(reply.Kvs, func(x, y gateway.KeyValue) int { return bytes.Compare(x.Key, y.Key) })
	reply.Count = int64(len(reply.Kvs))
	return reply
}

func inRange(key, from, end []byte) bool {
	switch {
	case len(end) == 0:
		return bytes.Equal(key, from)
	case len(end) == 1 && end[0] == 0:
		return bytes.Compare(key, from) >= 0
	default:
		return bytes.Compare(key, from) >= 0 && bytes.Compare(key, end) < 0
	}
}

func (k *KV) txn(r gateway.TxnRequest) (gateway.TxnResponse, *gateway.Status) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s := k.checkTxn(r); s != nil {
		return gateway.TxnResponse{}, s
	}
	for _, c := range r.Compare {
		if k.items[string(c.Key)].ModRevision != c.ModRevision {
			return gateway.TxnResponse{Header: k.header()}, nil
		}
	}
	before, next := len(k.history), k.revision+1
	for _, op := range r.Success {
		if op.Put != nil {
			k.putKey(next, *op.Put)
		} else {
			k.deleteKey(next, op.Delete.Key)
		}
	}
	if len(k.history) > before {
		k.notifyWatches()
	}
	return gateway.TxnResponse{Header: k.header(), Succeeded: true}, nil
}

// checkTxn returns the error that etcd returns for an invalid transaction, or nil.
func (k *KV) checkTxn(r gateway.TxnRequest) *gateway.Status {
	seen := map[string]bool{}
	for _, c := range r.Compare {
		if c.Target != "MOD" || c.Result != "EQUAL" {
			return &gateway.Status{Code: gateway.CodeInvalidArgument, Message: "the stand-in compares mod revisions for equality only"}
		}
	}
	for _, op := range r.Success {
		var key []byte
		switch {
		case (op.Put == nil) == (op.Delete == nil):
			return &gateway.Status{Code: gateway.CodeInvalidArgument, Message: "an operation must be one put or one delete"}
		case op.Delete != nil:
			key = op.Delete.Key
		default:
			key = op.Put.Key
			if len(op.Put.Value) > infra.MaxValueBytes {
				return &gateway.Status{Code: gateway.CodeInvalidArgument, Message: gateway.TextTooLarge}
			}
			if id := op.Put.Lease; id != 0 && k.leases[id] == nil {
				return &gateway.Status{Code: gateway.CodeNotFound, Message: gateway.TextLeaseNotFound}
			}
		}
		if len(key) == 0 {
			return &gateway.Status{Code: gateway.CodeInvalidArgument, Message: "etcdserver: key is not provided"}
		}
		if seen[string(key)] {
			return &gateway.Status{Code: gateway.CodeInvalidArgument, Message: "etcdserver: duplicate key given in txn request"}
		}
		seen[string(key)] = true
	}
	return nil
}

func (k *KV) putKey(revision int64, p gateway.PutRequest) {
	kv := gateway.KeyValue{
		Key: bytes.Clone(p.Key), Value: bytes.Clone(p.Value), Lease: p.Lease,
		CreateRevision: revision, ModRevision: revision, Version: 1,
	}
	if old, ok := k.items[string(p.Key)]; ok {
		kv.CreateRevision, kv.Version = old.CreateRevision, old.Version+1
	}
	k.recordChange(revision, gateway.WatchEvent{Kv: kv})
}

func (k *KV) deleteKey(revision int64, key []byte) {
	if _, ok := k.items[string(key)]; ok {
		k.recordChange(revision, gateway.WatchEvent{
			Type: gateway.DeleteEvent, Kv: gateway.KeyValue{Key: bytes.Clone(key), ModRevision: revision},
		})
	}
}

func (k *KV) grant(r gateway.LeaseRequest) (gateway.LeaseResponse, *gateway.Status) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r.TTL <= 0 {
		return gateway.LeaseResponse{}, &gateway.Status{Code: gateway.CodeOutOfRange, Message: "lease TTL must be positive"}
	}
	k.nextLease++
	id := k.nextLease
	k.startLease(id, time.Duration(r.TTL)*time.Second)
	return gateway.LeaseResponse{Header: k.header(), ID: id, TTL: r.TTL}, nil
}

// expire ends the lease when its timer fires, unless it was renewed meanwhile.
func (k *KV) expire(id int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if l := k.leases[id]; l != nil && !time.Now().Before(l.deadline) {
		k.endLease(id)
	}
}

// endLease removes a lease and deletes its keys.
func (k *KV) endLease(id int64) {
	l := k.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(k.leases, id)
	before, next := len(k.history), k.revision+1
	for _, key := range slices.Sorted(maps.Keys(k.items)) {
		if k.items[key].Lease == id {
			k.deleteKey(next, []byte(key))
		}
	}
	if len(k.history) > before {
		k.notifyWatches()
	}
}

func (k *KV) keepAlive(r gateway.LeaseRequest) gateway.KeepAliveResponse {
	k.mu.Lock()
	defer k.mu.Unlock()
	reply := &gateway.LeaseResponse{Header: k.header(), ID: r.ID}
	if l := k.leases[r.ID]; l != nil {
		l.deadline = time.Now().Add(l.ttl)
		l.timer.Reset(l.ttl)
		reply.TTL = int64(l.ttl / time.Second)
	}
	return gateway.KeepAliveResponse{Result: reply}
}

func (k *KV) revoke(r gateway.LeaseRequest) (gateway.LeaseResponse, *gateway.Status) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leases[r.ID] == nil {
		return gateway.LeaseResponse{}, &gateway.Status{Code: gateway.CodeNotFound, Message: gateway.TextLeaseNotFound}
	}
	k.endLease(r.ID)
	return gateway.LeaseResponse{Header: k.header()}, nil
}
