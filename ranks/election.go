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
	// coordinatorStopTimeout limits the time in which a stopping coordinator
	// finishes a switch and hands its term over. The gateway serves for longer.
	coordinatorStopTimeout = 1500 * time.Millisecond
	// storeCheckTimeout is the timeout of the call by which a stopping
	// coordinator finds out whether the store answers.
	storeCheckTimeout = 400 * time.Millisecond
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
	// Instances returns the number of instances that compete for leases; nil means
	// that there are few.
	Instances func() int
	// OnSlowRanks is called with the slow ranks of a group that this process
	// coordinates: their slowdown factors by the address at which they receive
	// requests. It may be nil.
	OnSlowRanks func(group string, byAddr map[string]float64)
	// OnLoad is called with the load of a group that this process coordinates, after
	// each round, and OnLoadEnd when it does not coordinate the group any longer. Both
	// may be nil.
	OnLoad    func(*routing.GroupLoad)
	OnLoadEnd func(group string)
	// HandOver hands a term over to another instance; it may be nil. It is called
	// after the last order of the term.
	HandOver func(Term)
	Log      *slog.Logger
}

// Coordinators compete for the leases of all groups and coordinate the groups
// whose leases they hold.
type Coordinators struct {
	o CoordinatorOptions

	mu          sync.Mutex
	takenOver   map[string]Term
	mapCounters map[string]*mapCounter
	stopping    context.Context // the context of Run; nil before Run is called
}

// NewCoordinators returns coordinators; Run starts them.
func NewCoordinators(o CoordinatorOptions) *Coordinators {
	return &Coordinators{o: o, takenOver: map[string]Term{}, mapCounters: map[string]*mapCounter{}}
}

// Run coordinates groups until ctx ends. Then it finishes switches that hold a
// step, and hands terms over or releases the leases.
func (c *Coordinators) Run(ctx context.Context) {
	c.mu.Lock()
	c.stopping = ctx
	c.mu.Unlock()
	var wg sync.WaitGroup
	defer c.handOverRemaining()
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
// and coordinates the group while it has a token. Orders and leases last beyond
// the end of ctx, until the switch in progress is finished and the term handed
// over.
func (c *Coordinators) coordinateGroup(ctx context.Context, group string) {
	workCtx, endWork := ctxtime.Extend(ctx, coordinatorStopTimeout)
	defer endWork()
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
	active := false // whether there was a token in the last round
	for ctx.Err() == nil {
		token := c.activeToken(ctx, group, holder, reserve)
		if token == nil {
			if active {
				c.suspend(group, coord)
			}
			active = false
			ctxtime.Sleep(ctx, roundInterval)
			continue
		}
		if coord == nil || !coord.coordinatesUnder(token) {
			if active {
				c.suspend(group, coord)
			}
			coord = c.newCoordinator(ctx, l)
		}
		if active = coord != nil; !active {
			ctxtime.Sleep(ctx, groupPollInterval)
			continue
		}
		coord.token = token
		ctxtime.Sleep(ctx, coord.runRound(workCtx))
		if coord.isSuperseded() {
			c.dropTerm(group)
			holder.Resign(coord.fencing)
			reserve.holder.Resign(coord.fencing)
		}
	}
	if active {
		coord.finishSwitch(workCtx)
		c.reportEnd(group)
	} else {
		coord = nil // its term has ended
	}
	c.endTerm(workCtx, group, coord, holder.RenewalsFailing() || reserve.holder.RenewalsFailing())
}

// suspend is called when a coordinator has no token for its number any more. Without a
// token it is kept: if that comes back with the same number, reports of before its last
// orders may still arrive.
func (c *Coordinators) suspend(group string, coord *coordinator) {
	c.o.Log.Info("coordination suspended", "group", group, "fencing", coord.fencing)
	coord.reportedSlow = nil
	c.reportEnd(group)
}

// reportEnd withdraws what was reported of a group at the end of a term.
func (c *Coordinators) reportEnd(group string) {
	if c.o.OnSlowRanks != nil {
		c.o.OnSlowRanks(group, nil)
	}
	if c.o.OnLoadEnd != nil {
		c.o.OnLoadEnd(group)
	}
}

// newCoordinator returns a coordinator for the group of the links, or nil if the
// shape of its experts is not known.
func (c *Coordinators) newCoordinator(ctx context.Context, l *links) *coordinator {
	l.refreshRecords(ctx, time.Now())
	shape := readShape(ctx, c.o, l.backend)
	if shape == nil {
		return nil
	}
	coord := newCoordinator(c.o.Log, l, shape)
	coord.maps = c.mapCounter(l.group)
	coord.onLoad = c.o.OnLoad
	l.maxReportAge = maxReportAge(shape)
	if c.o.OnSlowRanks != nil {
		coord.onSlowRanks = func(byAddr map[string]float64) { c.o.OnSlowRanks(l.group, byAddr) }
	}
	return coord
}

// mapCounter returns the counter of the maps of a group.
func (c *Coordinators) mapCounter(group string) *mapCounter {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.mapCounters[group]
	if m == nil {
		m = &mapCounter{}
		c.mapCounters[group] = m
	}
	return m
}

// newCoordinatorLease returns a holder that competes for the coordinator lease of a
// group.
func newCoordinatorLease(ctx context.Context, o CoordinatorOptions, group, key string) *lease.Holder {
	var holder *lease.Holder
	var candidate candidacy
	holder = lease.New(lease.Options{
		KV: o.KV, Key: key, HolderID: o.HolderID, Times: coordinatorTimes, KeepDuringOutage: true,
		IsCandidate: func() bool {
			return ctx.Err() == nil && candidate.competes(leaseVacant(ctx, o, key, holder), o.instances())
		},
		HolderDown: o.isHolderDown,
		OnAcquired: func(n uint64) { o.Log.Info("lease taken", "group", group, "fencing", n) },
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

func (o CoordinatorOptions) instances() int {
	if o.Instances == nil {
		return 1
	}
	return o.Instances()
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
