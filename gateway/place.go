package gateway

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/gateway/groupadmission"
	"github.com/skylarkstep/skylarkstep/routing"
	"github.com/skylarkstep/skylarkstep/routing/concurrency"
)

// maxGroupsPerBackend is the number of rank groups of a back end to which one instance
// sends requests, if there are more. Otherwise the sessions between instances and
// coordinators would grow with the square of the size.
const maxGroupsPerBackend = 8

// rankGroup is a rank group to which this instance sends requests.
type rankGroup struct {
	name  string
	local bool
	// byRank holds the targets that accept new work, by the number of the rank.
	byRank map[int]*target
}

// rankOf tells which rank of which group a target is.
type rankOf struct {
	group *rankGroup
	rank  int
}

// groupsOf returns the groups that targets form, by back end, and the rank of each
// target. If there are many groups, each instance uses some of them.
func (c *control) groupsOf(targets map[string][]*target) (map[string][]*rankGroup, map[string]rankOf) {
	groups, ranks := map[string][]*rankGroup{}, map[string]rankOf{}
	for backend, all := range targets {
		byName := map[string]*rankGroup{}
		for _, t := range all {
			m, ok := c.groups.byAddr[t.Addr]
			if !ok {
				continue
			}
			group := byName[m.Group]
			if group == nil {
				group = &rankGroup{name: m.Group, byRank: map[int]*target{}}
				byName[m.Group] = group
			}
			group.byRank[m.Rank] = t
			group.local = group.local || t.DataCentre == c.g.opts.DataCentre
			ranks[t.ID] = rankOf{group, m.Rank}
		}
		groups[backend] = c.usedGroups(byName)
	}
	return groups, ranks
}

// usedGroups returns the groups that this instance uses: local ones first, and
// different ones at each instance.
func (c *control) usedGroups(byName map[string]*rankGroup) []*rankGroup {
	type drawn struct {
		*rankGroup
		draw uint32
	}
	var all []drawn
	for name, group := range byName {
		h := fnv.New32a()
		_, _ = h.Write([]byte(c.g.id + "/" + name)) // never fails
		all = append(all, drawn{group, h.Sum32()})
	}
	slices.SortFunc(all, func(a, b drawn) int {
		if a.local != b.local && len(all) > maxGroupsPerBackend {
			return cmp.Compare(boolRank(b.local), boolRank(a.local))
		}
		return cmp.Or(cmp.Compare(a.draw, b.draw), cmp.Compare(a.name, b.name))
	})
	var used []*rankGroup
	for _, d := range all[:min(len(all), maxGroupsPerBackend)] {
		used = append(used, d.rankGroup)
	}
	return used
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// place is where a request may be sent: any target, or those of one group, of which
// the one with the given rank has the fewest requests.
type place struct {
	group *rankGroup // nil for any target
	rank  int        // -1 if unknown
}

// anywhere is the place of a request to a back end without rank groups whose load is
// known.
var anywhere = place{rank: -1}

// allows reports whether a request with the place may be sent to a target.
func (p place) allows(t *target, s *snapshot) bool {
	if p.group == nil {
		return true
	}
	group := s.rankOf[t.ID].group
	return group != nil && group.name == p.group.name
}

// prefers reports whether a target is the rank with the fewest requests.
func (p place) prefers(t *target) bool {
	if p.group == nil || p.rank < 0 {
		return false
	}
	preferred := p.group.byRank[p.rank]
	return preferred != nil && preferred.targetState == t.targetState
}

// acquirePlace picks a rank group for the request and, while the group is metered,
// waits for a place there. A request that has begun to get its response, and goes on at
// another target, needs none.
func (x *exchange) acquirePlace(ctx context.Context, req *slotRequest, now time.Time) (place, error) {
	groups, known := x.usableGroups(now)
	if known == 0 {
		return anywhere, nil
	}
	picked := x.pickGroup(groups)
	if x.eventCount > 0 || x.g.admission.SendUnmetered(picked.name, x.g.snapshot.Load().instanceCount, now) {
		return place{group: picked.rankGroup, rank: -1}, nil
	}
	verdict, err := x.g.admission.Ask(ctx, picked.name, groupadmission.PlaceRequest{
		Identity: x.fingerprint, Priority: routing.Priority(x.route, x.customer), RoutePriority: x.route.Priority,
		GoalBy: req.latencyGoalAt, LatestStart: req.waitUntil,
	})
	switch {
	case errors.Is(err, groupadmission.ErrSilent):
		return place{group: picked.rankGroup, rank: -1}, nil
	case err != nil:
		return anywhere, errkind.Wrap(err, errkind.Canceled, "canceled while waiting for a place")
	case verdict.Granted:
		return place{group: picked.rankGroup, rank: verdict.Rank}, nil
	}
	x.g.metrics.placesRejected.Inc(1)
	retryAfter := min(verdict.RetryAfter, time.Duration(outageRetryAfterShare*float64(x.deadline.Sub(now))))
	return anywhere, errkind.New(errkind.Overloaded, "rank group %s of back end %s has no room in time: %.0f requests in progress, limit %.0f, %d wait before this one, as of %d ms ago",
		picked.name, x.backend, picked.state.InProgress, picked.state.Limit, verdict.Ahead, now.Sub(picked.state.AsOf).Milliseconds()).WithRetryAfter(retryAfter)
}

// usableGroup is a group that may get the request.
type usableGroup struct {
	*rankGroup
	state groupadmission.GroupState
	known bool // whether state is
}

// usableGroups returns the groups of the back end that may get the request, and of how
// many of these the load is known. A group whose coordinator is away serves as before.
func (x *exchange) usableGroups(now time.Time) (groups []usableGroup, known int) {
	s := x.g.snapshot.Load()
	for _, group := range s.groups[x.backend] {
		state, ok := x.g.admission.State(group.name, now)
		if ok && !state.Open || !x.mayUseGroup(group) {
			continue
		}
		if ok {
			known++
		}
		groups = append(groups, usableGroup{group, state, ok})
	}
	return groups, known
}

// mayUseGroup reports whether the request may be sent to some target of a group now.
func (x *exchange) mayUseGroup(group *rankGroup) bool {
	now := time.Now()
	for _, t := range group.byRank {
		if x.mayUseTarget(t) && !t.isPaused(now) {
			return true
		}
	}
	return false
}

// pickGroup picks one of the groups. Those whose load is not known count as the mean of
// the others.
func (x *exchange) pickGroup(groups []usableGroup) usableGroup {
	candidates := make([]routing.GroupCandidate, len(groups))
	room, limit, known := 0.0, 0.0, 0.0
	for _, g := range groups {
		if g.known {
			room, limit, known = room+g.state.Room(), limit+g.state.Limit, known+1
		}
	}
	for i, g := range groups {
		candidates[i] = routing.GroupCandidate{Room: g.state.Room(), Limit: g.state.Limit, Local: g.local}
		if !g.known {
			candidates[i].Room, candidates[i].Limit = room/known, limit/known
		}
	}
	return groups[routing.PickGroup(candidates, x.g.randomFraction())]
}

// recordGroupLoad records the load of a group that its coordinator has sent.
func (g *Gateway) recordGroupLoad(name string) {
	s := g.snapshot.Load()
	if s == nil {
		return
	}
	now := time.Now()
	state, ok := g.admission.State(name, now)
	if !ok {
		return
	}
	for _, groups := range s.groups {
		for _, group := range groups {
			if group.name != name {
				continue
			}
			for rank, t := range group.byRank {
				if rank < len(state.ByRank) {
					t.recordReportedLoad(int64(state.ByRank[rank]), slices.Contains(state.Unresponsive, uint32(rank)), now)
				}
			}
		}
	}
}

// groupBackend describes the back end of a rank group. It returns false if requests to
// it need no place: the times of its engine are not known, or no route of it has a goal
// for pauses.
func (g *Gateway) groupBackend(name string) (groupadmission.Backend, bool) {
	s := g.snapshot.Load()
	if s == nil {
		return groupadmission.Backend{}, false
	}
	b := s.table.Backend(name)
	if b == nil {
		return groupadmission.Backend{}, false
	}
	model, ok := concurrency.NewModel(b.Engine)
	goal := s.table.GapGoal(name)
	slots := 0
	for _, t := range s.targets[name] {
		slots = max(slots, t.Slots)
	}
	return groupadmission.Backend{Model: model, GapGoal: goal, Slots: slots}, ok && goal > 0 && slots > 0
}

// groupCoordinators returns the coordinators of the groups that this instance uses.
func (g *Gateway) groupCoordinators(ctx context.Context) map[string]groupadmission.Coordinator {
	found, _ := query(ctx, g.control, func() map[string]groupadmission.Coordinator {
		s := g.snapshot.Load()
		if s == nil {
			return nil
		}
		coordinators := map[string]groupadmission.Coordinator{}
		for _, groups := range s.groups {
			for _, group := range groups {
				instance := g.control.groups.coordinators[group.name]
				if addr := g.control.peerAddr(instance); addr != "" {
					coordinators[group.name] = groupadmission.Coordinator{Instance: instance, PeerAddr: addr}
				}
			}
		}
		return coordinators
	})
	return found
}

// peerAddr returns the address of an instance for other instances, or "" if it is not
// known.
func (c *control) peerAddr(instance string) string {
	if instance == c.g.id {
		return c.g.opts.PeerAddr
	}
	if r, ok := c.instances[instance]; ok {
		return r.PeerAddr
	}
	if p := c.peers.byID[instance]; p != nil {
		return p.record.PeerAddr
	}
	return ""
}
