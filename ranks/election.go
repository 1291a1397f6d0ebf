package ranks

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/ctxtime"
	"github.com/skylarkstep/skylarkstep/lease"
	"github.com/skylarkstep/skylarkstep/routing"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

const (
	// groupPollInterval is the interval at which the groups are listed.
	groupPollInterval    = 500 * time.Millisecond
	coordinatorKeyPrefix = "skylarkstep/coordinators/"
)

// coordinatorTimes are short, since a group whose coordinator is down keeps its
// map until the next one takes over. No start delay is needed because ranks
// check fencing numbers.
var coordinatorTimes = lease.Times{TTL: 2500 * time.Millisecond, RenewInterval: 800 * time.Millisecond, Margin: 400 * time.Millisecond}

// CoordinatorOptions are the settings of a process that may coordinate groups.
type CoordinatorOptions struct {
	Instance string
	// HolderID identifies this process as a lease holder: the instance, a slash
	// and a number.
	HolderID string
	KV       infra.KV
	Items    ItemLister
	Records  Records
	Engine   Engine
	// HolderDown reports whether the process with a holder ID is down: no
	// heartbeat of its instance has been received for a while, or the instance
	// runs another process.
	HolderDown func(holder string) bool
	// OnSlowRanks is called with the slow ranks of a group that this process
	// coordinates: their slowdown factors by the address at which they receive
	// requests. It may be nil.
	OnSlowRanks func(group string, byAddr map[string]float64)
	// HandOver hands a term over to another instance; it may be nil.
	HandOver func(Term)
	Log      *slog.Logger
}

// Term is the period in which one coordinator coordinates a group.
type Term struct {
	Group   string
	Fencing uint64
	// Maps is the number of maps planned so far. Their versions must not be
	// used for other maps.
	Maps uint64
}

// Coordinators compete for the leases of all groups and coordinate the groups
// whose leases they hold.
type Coordinators struct {
	o CoordinatorOptions

	mu        sync.Mutex
	takenOver map[string]Term
}

// NewCoordinators returns coordinators; Run starts them.
func NewCoordinators(o CoordinatorOptions) *Coordinators {
	return &Coordinators{o: o, takenOver: map[string]Term{}}
}

// TakeOver continues the term of a coordinator that has stopped while the
// key-value store grants no leases.
func (c *Coordinators) TakeOver(t Term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.takenOver[t.Group] = t
	c.o.Log.Info("term adopted", "group", t.Group, "fencing", t.Fencing, "maps", t.Maps)
}

// takenOverTerm returns the term of a group that was taken over, if any.
func (c *Coordinators) takenOverTerm(group string) (Term, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.takenOver[group]
	return t, ok
}

func (c *Coordinators) dropTerm(group string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.takenOver, group)
}

// Run coordinates groups until ctx ends.
func (c *Coordinators) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	started := map[string]bool{}
	for ctx.Err() == nil {
		for _, group := range listGroups(ctx, c.o) {
			if !started[group] {
				started[group] = true
				wg.Go(func() { c.coordinateGroup(ctx, group) })
			}
		}
		ctxtime.Sleep(ctx, groupPollInterval)
	}
}

// listGroups returns the names of the groups whose agents have records.
func listGroups(ctx context.Context, o CoordinatorOptions) []string {
	items, err := o.Items(ctx, agentsPrefix)
	if err != nil {
		return nil // the cached copy is not loaded yet
	}
	var names []string
	for _, it := range items {
		var r agentRecord
		if json.Unmarshal(it.Value, &r) == nil && r.Rank == 0 {
			names = append(names, r.Group)
		}
	}
	return names
}

// coordinateGroup competes for the coordinator and the standby lease of a group
// and coordinates the group while it has a token. When ctx ends during an outage
// of the store, or in a term that was taken over, it hands the term over.
func (c *Coordinators) coordinateGroup(ctx context.Context, group string) {
	o, key := c.o, coordinatorKeyPrefix+group
	holder := newCoordinatorLease(ctx, o, group, key)
	reserve := newStandby(o, group, key)
	leaseCtx, releaseLeases := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer releaseLeases()
	wg.Go(func() { holder.Run(leaseCtx) })
	wg.Go(func() { reserve.holder.Run(leaseCtx) })
	l := &links{
		engine: o.Engine, records: o.Records, listItems: o.Items, log: o.Log, group: group,
		hello: &wirepb.Hello{Instance: o.Instance, Role: "coordinator"},
	}
	var coord *coordinator
	for ctx.Err() == nil {
		token := c.activeToken(ctx, group, holder, reserve)
		if token == nil {
			if coord != nil && o.OnSlowRanks != nil {
				o.OnSlowRanks(group, nil)
			}
			coord = nil
			ctxtime.Sleep(ctx, roundInterval)
			continue
		}
		if coord == nil {
			l.refreshRecords(ctx, time.Now())
			shape := readShape(ctx, o, l.backend)
			if shape == nil {
				ctxtime.Sleep(ctx, groupPollInterval)
				continue
			}
			coord = newCoordinator(o.Log, l, shape)
			if o.OnSlowRanks != nil {
				coord.onSlowRanks = func(byAddr map[string]float64) { o.OnSlowRanks(group, byAddr) }
			}
		}
		coord.token = token
		ctxtime.Sleep(ctx, coord.runRound(ctx))
		if coord.supersededFencing != 0 && coord.supersededFencing == coord.fencing {
			c.dropTerm(group)
			holder.Resign(coord.fencing)
			reserve.holder.Resign(coord.fencing)
		}
	}
	_, hasTerm := c.takenOverTerm(group)
	if coord != nil && (hasTerm || holder.RenewalsFailing() || reserve.holder.RenewalsFailing()) && o.HandOver != nil {
		o.HandOver(Term{Group: group, Fencing: coord.fencing, Maps: coord.mapsPlanned})
	}
}

// newCoordinatorLease returns a holder that competes for the coordinator lease of a
// group.
func newCoordinatorLease(ctx context.Context, o CoordinatorOptions, group, key string) *lease.Holder {
	var holder *lease.Holder
	holder = lease.New(lease.Options{
		KV: o.KV, Key: key, HolderID: o.HolderID, Times: coordinatorTimes, KeepDuringOutage: true,
		IsCandidate: func() bool { return leaseVacant(ctx, o, key, holder) },
		HolderDown:  o.isHolderDown,
		OnAcquired:  func(n uint64) { o.Log.Info("lease taken", "group", group, "fencing", n) },
		OnLost: func(n uint64, reason string) {
			o.Log.Info("lease lost", "group", group, "fencing", n, "reason", reason)
		},
	})
	return holder
}

// activeToken returns the token under which this process may coordinate a
// group: its own lease, a term that it took over, or the number that it holds
// in reserve. It returns nil if there is none.
func (c *Coordinators) activeToken(ctx context.Context, group string, holder *lease.Holder, reserve *standby) lease.Token {
	useReserve := reserve.mustTakeOver(ctx)
	if _, valid := holder.Token(); valid {
		c.dropTerm(group)
		return holder
	}
	if t, ok := c.takenOverTerm(group); ok {
		return takenOverToken(t)
	}
	if useReserve {
		return reserve.holder
	}
	return nil
}

// takenOverToken is the token of a term that was taken over.
type takenOverToken Term

// Token implements lease.Token.
func (t takenOverToken) Token() (uint64, bool) { return t.Fencing, true }

// leaseVacant reports whether the lease of a key, for which holder competes, is free,
// its holder is down, or its key is a leftover of this process. It reads the cached
// copy of the store, so that waiting costs no calls.
func leaseVacant(ctx context.Context, o CoordinatorOptions, key string, holder *lease.Holder) bool {
	it, exists, err := o.cachedItem(ctx, key)
	return err == nil && (!exists || o.isHolderDown(string(it.Value)) || holder.IsLeftover(it))
}

// cachedItem returns the item with the key from the cached copy of the store, and
// whether it exists. Other keys may begin with the key, since names of groups may.
func (o CoordinatorOptions) cachedItem(ctx context.Context, key string) (infra.Item, bool, error) {
	items, err := o.Items(ctx, key)
	for _, it := range items {
		if it.Key == key {
			return it, true, err
		}
	}
	return infra.Item{}, false, err
}

// isHolderDown reports whether a holder is an earlier process of this instance,
// or CoordinatorOptions.HolderDown reports it as down. Holder IDs have the form
// INSTANCE/NUMBER.
func (o CoordinatorOptions) isHolderDown(holder string) bool {
	instance, _, _ := strings.Cut(holder, "/")
	if instance == o.Instance {
		return holder != o.HolderID
	}
	return o.HolderDown != nil && o.HolderDown(holder)
}

// readShape returns the expert shape of a back end from the configuration, or
// nil if it can't be read or has none.
func readShape(ctx context.Context, o CoordinatorOptions, backend string) *routing.ExpertShape {
	it, exists, err := o.cachedItem(ctx, o.Records.ConfigKey())
	if err != nil || !exists {
		return nil
	}
	cfg, err := o.Records.Config(it.Value)
	if err != nil {
		o.Log.Warn("configuration not readable", "error", err.Error())
		return nil
	}
	for _, b := range cfg.Backends {
		if b.Name == backend {
			return b.Experts
		}
	}
	return nil
}
