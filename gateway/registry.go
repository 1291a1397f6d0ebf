package gateway

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/infra"
)

const (
	instancePrefix = "skylarkstep/instances/"
	// registryTTL is the lease of an instance's record. A killed instance is
	// known by its silence sooner; the lease is for those that hear nobody.
	registryTTL = 4 * time.Second
	// registryRenew is the pause between renewals.
	registryRenew = 1200 * time.Millisecond
	// registryRetry is the pause after a call that failed.
	registryRetry = 400 * time.Millisecond
	// releaseTimeout bounds the removal of the record at the end.
	releaseTimeout = time.Second
)

// record is what an instance tells the others about itself.
type record struct {
	CallerAddr string `json:"caller_addr"`
	PeerAddr   string `json:"peer_addr"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
}

func isInstanceKey(key string) bool { return strings.HasPrefix(key, instancePrefix) }

// registry keeps the record of this instance under a lease.
type registry struct {
	kv    infra.KV
	key   string
	value []byte

	mu    sync.Mutex
	lease infra.LeaseID
}

func newRegistry(kv infra.KV, id string, r record) *registry {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of strings always encodes
	}
	return &registry{kv: kv, key: instancePrefix + id, value: value}
}

// run keeps the record until ctx ends, and removes it then.
func (r *registry) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.keep(ctx); err != nil {
			sleep(ctx, registryRetry)
			continue
		}
		sleep(ctx, registryRenew)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if r.lease != 0 {
		_ = r.kv.Revoke(ctx, r.lease) // the lease lapses anyway
	}
}

func (r *registry) keep(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease != 0 {
		_, err := r.kv.KeepAlive(ctx, r.lease)
		if errors.Is(err, infra.ErrLeaseNotFound) {
			r.lease = 0
		}
		return err
	}
	lease, err := r.kv.Grant(ctx, registryTTL)
	if err != nil {
		return err
	}
	if _, err := r.kv.Commit(ctx, infra.Txn{Puts: []infra.Put{{Key: r.key, Value: r.value, Lease: lease}}}); err != nil {
		return err
	}
	r.lease = lease
	return nil
}

// records returns the instances that the copy of the service shows.
func (c *control) records() map[string]record {
	found := map[string]record{}
	c.mirror.Each(func(it infra.Item) {
		id, ok := strings.CutPrefix(it.Key, instancePrefix)
		if !ok {
			return
		}
		var r record
		if err := json.Unmarshal(it.Value, &r); err != nil {
			c.log.Warn("instance record not readable", "key", it.Key, "error", err.Error())
			return
		}
		found[id] = r
	})
	return found
}
