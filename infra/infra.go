package infra

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrNotFound means that a key does not exist.
var ErrNotFound = errors.New("key not found")

// ErrUnknownOutcome means that a write may or may not have taken effect. The
// caller finds out by reading.
var ErrUnknownOutcome = errors.New("write outcome unknown")

// ErrLeaseNotFound means that a lease does not exist or has expired.
var ErrLeaseNotFound = errors.New("lease not found")

// ErrCompacted means that a watch requested changes that the store does not keep:
// they were compacted, or the store was restored and is in another era. The caller
// lists the keys and watches from the revision of that list.
var ErrCompacted = errors.New("revision compacted")

// MaxValueBytes is the size of the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// LeaseID identifies a lease of the key-value store. The zero value means no
// lease.
type LeaseID struct {
	// Era is the era of the store in which the lease was granted. After a restore
	// the store may give out the same number again, for another lease.
	Era    int64
	Number int64
}

// Item is one key with its value. Its revisions are described at NewRevision.
type Item struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Lease          LeaseID
}

// Condition must hold for a transaction to take effect. ModRevision zero means
// that the key must not exist.
type Condition struct {
	Key         string
	ModRevision int64
}

// Put is one write of a transaction.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a transaction: all its puts and deletes take effect if all conditions
// hold, and none otherwise.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// TxnResult reports whether a transaction took effect, and at which revision of
// the store.
type TxnResult struct {
	Succeeded bool
	Revision  int64
}

// Event is one change received by a watch. An event of a deletion carries no
// value. An event with Err carries no item and is the last one before the channel
// is closed. An event with AsOf carries no item either: the watch has received all
// changes up to that time. Not all implementations send it.
type Event struct {
	Item    Item
	Deleted bool
	Err     error
	AsOf    time.Time
}

// KV is a client of the key-value store. The store counts every call; an open watch
// counts as one.
type KV interface {
	// Get returns the item and the revision of the store at the time of the read. If
	// the key does not exist, it returns ErrNotFound, also with the revision.
	Get(ctx context.Context, key string) (Item, int64, error)
	// List returns the items whose keys start with prefix, in key order, and a
	// revision from which a watch receives all later changes.
	List(ctx context.Context, prefix string) ([]Item, int64, error)
	// Commit runs a transaction. It returns ErrUnknownOutcome if the reply was lost
	// after the request had been written.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its remaining time. Zero means that the
	// lease has expired, or that the store was restored since it was granted.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes its keys. It returns ErrLeaseNotFound if the
	// lease does not exist.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch sends the changes after the given revision of keys that start with
	// prefix, until ctx ends or the connection breaks. Then it closes the channel. If
	// the store no longer keeps those changes, the last event has an Err that wraps
	// ErrCompacted. An empty batch means that the watch works and nothing has
	// changed; not all implementations send one.
	Watch(ctx context.Context, prefix string, after int64) (<-chan []Event, error)
}

// InstanceState is the state of an instance in the instance list.
type InstanceState string

// The values of InstanceState.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one row of the instance list.
type Instance struct {
	Name       string        `json:"name"`
	DataCentre string        `json:"data_centre"`
	Addr       string        `json:"addr"`
	State      InstanceState `json:"state"`
}

// InstanceList returns the live and leaving instances. The list may lag behind. An
// error of the kind InvalidRequest comes with the other rows: it names one that is not
// that of an instance.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// WeightStore serves model and expert weights at a limited rate.
type WeightStore interface {
	// Fetch reads the object and returns its size. If the store limits the rate, the
	// error is of kind Overloaded and has a retry-after.
	Fetch(ctx context.Context, object string) (int64, error)
}
