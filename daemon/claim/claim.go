package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/skylarkstep/skylarkstep/atmostonce"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra"
)

const (
	keyPrefix = "skylarkstep/claims/"
	// writesPerSecond is the write budget of all entries together. The store
	// handles several hundred writes/s, which claims share with leases and
	// configuration.
	writesPerSecond = 100
	// leaseReusePeriod is how long new claims are attached to the same lease. One
	// lease per claim would double the writes.
	leaseReusePeriod = time.Hour
	// claimLifetime is the minimum lifetime of a claim. The lease lasts longer by
	// leaseReusePeriod, so that the last claim attached to it has this lifetime
	// too.
	claimLifetime = 24 * time.Hour
	// claimTimeout is the timeout of a whole claim, which makes several calls to
	// the store when replies are lost.
	claimTimeout = 1500 * time.Millisecond
	// unavailableBackoff is how long claims fail immediately after the store has
	// not replied, so that callers don't wait for the timeout during an outage.
	unavailableBackoff = time.Second
	maxWriteAttempts   = 3
)

// Claims creates and reads the claims of one entry. It is safe for concurrent
// use.
type Claims struct {
	kv      infra.KV
	limiter *rate.Limiter
	// grantLock is held while a lease is requested. It is a channel, so that a
	// caller stops waiting when its context ends.
	grantLock chan struct{}

	mu               sync.Mutex
	lease            infra.LeaseID // of new claims; zero if there is none
	grantedAt        time.Time
	unavailableUntil time.Time
}

// New returns the Claims of an entry.
func New(kv infra.KV) *Claims {
	return &Claims{kv: kv, limiter: rate.NewLimiter(writesPerSecond, writesPerSecond), grantLock: make(chan struct{}, 1)}
}

// SetEntries sets the number of configured entries, which share the write
// budget equally.
func (c *Claims) SetEntries(n int) {
	share := max(writesPerSecond/max(n, 1), 1)
	if c.limiter.Burst() != share {
		c.limiter.SetLimit(rate.Limit(share))
		c.limiter.SetBurst(share)
	}
}

// claimValue is the stored value of a claim.
type claimValue struct {
	OperationID string `json:"operation_id"`
	Digest      string `json:"digest"`
}

// Claim returns the operation id that the customer's key is bound to. If the
// key has none, Claim binds it to the id that issueID returns. The binding does
// not change during its lifetime, so that not_run of the id also holds for the
// key. A key that is bound to a request with another digest fails with
// InvalidRequest.
func (c *Claims) Claim(
	ctx context.Context, customer, key string, digest [sha256.Size]byte, issueID func() (atmostonce.ID, error),
) (atmostonce.ID, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if c.isUnavailable() {
		return atmostonce.ID{}, storeUnavailable(errors.New("it did not answer within the last second"))
	}
	sum := sha256.Sum256([]byte(key))
	claimKey := keyPrefix + customer + "/" + hex.EncodeToString(sum[:])
	digestHex := hex.EncodeToString(digest[:])
	id, err := issueID()
	if err == nil && !c.limiter.Allow() {
		err = budgetExhausted()
	}
	if err != nil {
		// Reads have no budget, so that a retry with a bound key still succeeds.
		if bound, readErr := c.read(ctx, claimKey, digestHex); !errors.Is(readErr, infra.ErrNotFound) {
			return bound, readErr
		}
		return id, err
	}
	return c.bind(ctx, claimKey, claimValue{id.String(), digestHex})
}

// bind creates the claim if it is absent. After a lost reply it writes the same
// value again, so it does not matter which of the writes takes effect.
func (c *Claims) bind(ctx context.Context, key string, v claimValue) (atmostonce.ID, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return atmostonce.ID{}, errkind.Wrap(err, errkind.Internal, "encode the claim")
	}
	for attempt := 0; ; attempt++ {
		var res infra.TxnResult
		lease, err := c.currentLease(ctx)
		if err == nil {
			res, err = c.kv.Commit(ctx, infra.Txn{
				Conditions: []infra.Condition{{Key: key}},
				Puts:       []infra.Put{{Key: key, Value: data, Lease: lease}},
			})
		}
		if err == nil && res.Succeeded {
			return atmostonce.ParseID(v.OperationID)
		}
		if errors.Is(err, infra.ErrLeaseNotFound) {
			c.forgetLease(lease)
		}
		id, readErr := c.read(ctx, key, v.Digest)
		if !errors.Is(readErr, infra.ErrNotFound) {
			return id, readErr
		}
		if attempt+1 == maxWriteAttempts {
			return id, storeUnavailable(errors.Wrap(err, "the claim could not be written"))
		}
		if !c.limiter.Allow() {
			return id, budgetExhausted()
		}
	}
}

// read returns the id that the key is bound to, or ErrNotFound.
func (c *Claims) read(ctx context.Context, key, digest string) (atmostonce.ID, error) {
	item, _, err := c.kv.Get(ctx, key)
	if errors.Is(err, infra.ErrNotFound) {
		return atmostonce.ID{}, err
	}
	if err != nil {
		c.markUnavailable()
		return atmostonce.ID{}, storeUnavailable(err)
	}
	var v claimValue
	if err := json.Unmarshal(item.Value, &v); err != nil {
		return atmostonce.ID{}, errkind.Wrap(err, errkind.Internal, "invalid claim in the key-value service")
	}
	if v.Digest != digest {
		return atmostonce.ID{}, errkind.New(errkind.InvalidRequest, "the key was used for another request").WithDidRun(errkind.Unknown)
	}
	id, err := atmostonce.ParseID(v.OperationID)
	if err != nil {
		return id, errkind.Wrap(err, errkind.Internal, "invalid claim in the key-value service")
	}
	return id, nil
}

// currentLease returns the lease that new claims are attached to. It requests a
// new one if there is none or its reuse period has ended.
func (c *Claims) currentLease(ctx context.Context) (infra.LeaseID, error) {
	select {
	case c.grantLock <- struct{}{}:
		defer func() { <-c.grantLock }()
	case <-ctx.Done():
		return infra.LeaseID{}, errors.WithStack(ctx.Err())
	}
	c.mu.Lock()
	lease, grantedAt := c.lease, c.grantedAt
	c.mu.Unlock()
	if lease != (infra.LeaseID{}) && time.Since(grantedAt) < leaseReusePeriod {
		return lease, nil
	}
	requestedAt := time.Now()
	lease, err := c.kv.Grant(ctx, claimLifetime+leaseReusePeriod)
	if err != nil {
		return infra.LeaseID{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease, c.grantedAt = lease, requestedAt
	return lease, nil
}

func (c *Claims) forgetLease(lease infra.LeaseID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease == lease {
		c.lease = infra.LeaseID{}
	}
}

func (c *Claims) markUnavailable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unavailableUntil = time.Now().Add(unavailableBackoff)
}

func (c *Claims) isUnavailable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.unavailableUntil)
}

// storeUnavailable returns the error for a store that does not reply. Its
// DidRun is Unknown, since another entry may have bound the key and run the
// call.
func storeUnavailable(cause error) error {
	return errkind.Wrap(cause, errkind.StoreUnavailable,
		"the key-value service does not answer; repeat under the same key is safe").
		WithDidRun(errkind.Unknown).WithRetryAfter(unavailableBackoff + rand.N(unavailableBackoff))
}

func budgetExhausted() error {
	return errkind.New(errkind.Overloaded,
		"the write budget of keyed calls is used up; repeat under the same key is safe").
		WithDidRun(errkind.Unknown).WithRetryAfter(time.Second/2 + rand.N(time.Second))
}
