package infra

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrNotFound says that a key does not exist.
var ErrNotFound = errors.New("key not found")

// ErrUnknownOutcome says that a write may or may not have taken effect. The
// caller resolves it by reading.
var ErrUnknownOutcome = errors.New("write outcome unknown")

// ErrLeaseNotFound says that a lease does not exist or has lapsed.
var ErrLeaseNotFound = errors.New("lease not found")

// ErrCompacted says that a watch asked for changes that the service no longer
// keeps. The caller lists the keys and watches from the revision of that list.
var ErrCompacted = errors.New("revision compacted")

// MaxValueBytes is the largest value that the service accepts.
const MaxValueBytes = 1 << 20

// LeaseID names a lease of the key-value service. Zero means no lease.
type LeaseID int64

// Item is one key with its value.
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

// Txn writes all puts and deletes if all conditions hold.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// TxnResult says whether the transaction took effect and at which revision of
// the service.
type TxnResult struct {
	Succeeded bool
	Revision  int64
}

// Event is one change seen by a watch. Deleted events carry no value. An event
// with Err set carries no item and is the last one before the channel closes.
// One with AsOf set carries no item either: the watch has seen all changes up to
// that moment. Not all services send it.
type Event struct {
	Item    Item
	Deleted bool
	Err     error
	AsOf    time.Time
}

// KV is the key-value service. Every call is counted by the service; a waiting
// watch counts as one.
type KV interface {
	// Get returns ErrNotFound for a key that does not exist. Revision of the
	// service at the read is returned in any case.
	Get(ctx context.Context, key string) (Item, int64, error)
	// List returns the items whose keys start with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Item, int64, error)
	// Commit runs a transaction. A reply that was lost after the request was
	// written is ErrUnknownOutcome.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its remaining time; zero means that
	// the lease has lapsed.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes its keys. A lease that does not exist is
	// ErrLeaseNotFound.
	Revoke(ctx context.Context, id LeaseID) error
	// An empty batch says that the watch is alive and nothing has changed; not
	// every service sends them.
	//
	// Watch delivers the changes of keys that start with prefix after the given
	// revision until ctx ends or the connection breaks; then the channel is
	// closed. If the service no longer keeps those changes, the last event has
	// an Err that wraps ErrCompacted.
	Watch(ctx context.Context, prefix string, after int64) (<-chan []Event, error)
}

// InstanceState is what the instance list says of an instance.
type InstanceState string

// The states in the instance list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one row of the instance list, which lags.
type Instance struct {
	Name       string        `json:"name"`
	DataCentre string        `json:"data_centre"`
	Addr       string        `json:"addr"`
	State      InstanceState `json:"state"`
}

// InstanceList shows live and leaving instances with a lag.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// WeightStore serves model and expert weights at a limited rate.
type WeightStore interface {
	// Fetch reads the object and returns its size. A rate-limited store
	// answers an error of kind Overloaded with a retry-after.
	Fetch(ctx context.Context, object string) (int64, error)
}
