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

// maxHistory bounds the changes kept for watches and Rollback, so that a long
// load run does not fill the memory. Older ones are compacted.
const maxHistory = 10000

// change is one entry of the history.
type change struct {
	revision int64
	event    gateway.WatchEvent
}

type leaseState struct {
	ttl      time.Duration
	deadline time.Time
	timer    *time.Timer
}

// KV is the stand-in of the key-value service. It is an http.Handler that
// speaks the JSON gateway.
type KV struct {
	Faults

	mu        sync.Mutex
	revision  int64
	items     map[string]gateway.KeyValue
	base      map[string]gateway.KeyValue // the items at the compacted revision
	compacted int64
	history   []change
	leases    map[int64]*leaseState
	nextLease int64
	changed   chan struct{} // closed and replaced on each change
	broken    chan struct{} // closed and replaced to break all watches
	calls     map[string]int
}

// NewKV returns an empty stand-in at revision 1, as etcd starts.
func NewKV() *KV {
	return &KV{
		revision: 1, items: map[string]gateway.KeyValue{}, base: map[string]gateway.KeyValue{},
		leases: map[int64]*leaseState{}, nextLease: 1000, calls: map[string]int{},
		changed: make(chan struct{}), broken: make(chan struct{}),
	}
}

// Calls returns the number of calls per kind: range, txn, grant, keepalive,
// revoke and watch. A waiting watch counts as one call.
func (k *KV) Calls() map[string]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.calls)
}

func (k *KV) count(kind string) {
	k.mu.Lock()
	k.calls[kind]++
	k.mu.Unlock()
}

// Revision returns the revision of the service.
func (k *KV) Revision() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.revision
}

// ExpireLease ends a lease before its time.
func (k *KV) ExpireLease(id infra.LeaseID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.endLease(int64(id))
}

// BreakWatches ends all watches, as a restart of the service does.
func (k *KV) BreakWatches() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.breakWatches()
}

func (k *KV) breakWatches() {
	close(k.broken)
	k.broken = make(chan struct{})
}

// Compact forgets the changes up to the revision.
func (k *KV) Compact(revision int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.compact(min(revision, k.revision))
}

func (k *KV) compact(revision int64) {
	n := 0
	for n < len(k.history) && k.history[n].revision <= revision {
		apply(k.base, k.history[n].event)
		n++
	}
	k.history = slices.Clone(k.history[n:])
	k.compacted = max(k.compacted, revision)
}

// Rollback returns the keys and the revision of the service to an older
// revision, as restoring a backup does, and breaks all watches. Leases stay.
func (k *KV) Rollback(revision int64) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if revision < max(k.compacted, 1) || revision > k.revision {
		return fmt.Errorf("revision %d is not between %d and %d", revision, max(k.compacted, 1), k.revision)
	}
	k.items = maps.Clone(k.base)
	n := 0
	for n < len(k.history) && k.history[n].revision <= revision {
		apply(k.items, k.history[n].event)
		n++
	}
	k.history, k.revision = k.history[:n], revision
	k.breakWatches()
	return nil
}

func apply(items map[string]gateway.KeyValue, e gateway.WatchEvent) {
	if e.Type == gateway.DeleteEvent {
		delete(items, string(e.Kv.Key))
	} else {
		items[string(e.Kv.Key)] = e.Kv
	}
}

// record applies a change at the given revision.
func (k *KV) record(revision int64, e gateway.WatchEvent) {
	apply(k.items, e)
	k.history = append(k.history, change{revision, e})
	k.revision = revision
}

// notify wakes the watches after changes were recorded.
func (k *KV) notify() {
	if len(k.history) > maxHistory {
		k.compact(k.history[len(k.history)-maxHistory/2].revision)
	}
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *KV) header() gateway.Header { return gateway.Header{Revision: k.revision} }

func (k *KV) rangeOp(r gateway.RangeRequest) gateway.RangeResponse {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := gateway.RangeResponse{Header: k.header()}
	for _, kv := range k.items {
		if inRange(kv.Key, r.Key, r.RangeEnd) {
			a.Kvs = append(a.Kvs, kv)
		}
	}
	slices.SortFunc(a.Kvs, func(x, y gateway.KeyValue) int { return bytes.Compare(x.Key, y.Key) })
	a.Count = int64(len(a.Kvs))
	return a
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
			k.put(next, *op.Put)
		} else {
			k.remove(next, op.Delete.Key)
		}
	}
	if len(k.history) > before {
		k.notify()
	}
	return gateway.TxnResponse{Header: k.header(), Succeeded: true}, nil
}

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

func (k *KV) put(revision int64, p gateway.PutRequest) {
	kv := gateway.KeyValue{
		Key: bytes.Clone(p.Key), Value: bytes.Clone(p.Value), Lease: p.Lease,
		CreateRevision: revision, ModRevision: revision, Version: 1,
	}
	if old, ok := k.items[string(p.Key)]; ok {
		kv.CreateRevision, kv.Version = old.CreateRevision, old.Version+1
	}
	k.record(revision, gateway.WatchEvent{Kv: kv})
}

func (k *KV) remove(revision int64, key []byte) {
	if _, ok := k.items[string(key)]; ok {
		k.record(revision, gateway.WatchEvent{
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
	l := &leaseState{ttl: time.Duration(r.TTL) * time.Second}
	l.deadline = time.Now().Add(l.ttl)
	l.timer = time.AfterFunc(l.ttl, func() { k.expire(id) })
	k.leases[id] = l
	return gateway.LeaseResponse{Header: k.header(), ID: id, TTL: r.TTL}, nil
}

// expire ends the lease unless it was renewed while the timer fired.
func (k *KV) expire(id int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if l := k.leases[id]; l != nil && !time.Now().Before(l.deadline) {
		k.endLease(id)
	}
}

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
			k.remove(next, []byte(key))
		}
	}
	if len(k.history) > before {
		k.notify()
	}
}

func (k *KV) keepAlive(r gateway.LeaseRequest) gateway.KeepAliveResponse {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := &gateway.LeaseResponse{Header: k.header(), ID: r.ID}
	if l := k.leases[r.ID]; l != nil {
		l.deadline = time.Now().Add(l.ttl)
		l.timer.Reset(l.ttl)
		a.TTL = int64(l.ttl / time.Second)
	}
	return gateway.KeepAliveResponse{Result: a}
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
