package ranks

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/expertmap/switchover"
	"github.com/skylarkstep/skylarkstep/routing"
)

// loadReports returns the reports of ranks with the given numbers of requests; -1 stands
// for a rank that has not reported.
func loadReports(open bool, running ...int) []Report {
	reports := make([]Report, len(running))
	for i, n := range running {
		if n >= 0 {
			reports[i] = Report{Running: n, Waiting: 1, State: switchover.State{Reported: true, Open: open, Step: uint64(10 * n)}}
		}
	}
	return reports
}

// newLoadCoordinator returns a coordinator whose loads are stored in the returned value.
func newLoadCoordinator(t *testing.T) (*coordinator, **routing.GroupLoad) {
	t.Helper()
	c := newCoordinator(slog.New(slog.DiscardHandler), &links{group: "g", backend: "b"}, &routing.ExpertShape{Sets: 1, Experts: 4})
	latest := new(*routing.GroupLoad)
	c.onLoad = func(l *routing.GroupLoad) { *latest = l }
	return c, latest
}

// Guards against a rank that misses one round and counts as empty: all instances would
// send their requests there.
func TestLoadOfRankThatMissesARound(t *testing.T) {
	c, latest := newLoadCoordinator(t)
	asOf := time.Now()
	c.reportLoad(loadReports(true, 3, 5, 4), asOf, asOf)
	c.reportLoad(loadReports(true, 2, -1, 4), asOf.Add(roundInterval), asOf.Add(roundInterval))
	require.Equal(t, []routing.RankLoad{{Running: 2, Waiting: 1}, {Running: 5, Waiting: 1}, {Running: 4, Waiting: 1}}, (*latest).Ranks)
	require.Equal(t, 14, (*latest).Requests())
	require.Equal(t, asOf.Add(roundInterval), (*latest).AsOf)
	require.EqualValues(t, 40, (*latest).Step)
	require.True(t, (*latest).Open)
}

// Guards against a load without any report, which would stand for an empty group.
func TestNoLoadWithoutReports(t *testing.T) {
	c, latest := newLoadCoordinator(t)
	c.reportLoad(loadReports(true, -1, -1), time.Now(), time.Now())
	require.Nil(t, *latest)
	c.reportLoad(nil, time.Now(), time.Now())
	require.Nil(t, *latest)
}

// Guards against requests to a group that is broken, or that was never complete.
func TestLoadOfBrokenGroup(t *testing.T) {
	c, latest := newLoadCoordinator(t)
	c.reportLoad(loadReports(false, 0, 0, -1), time.Now(), time.Now())
	require.False(t, (*latest).Open)
}

// Guards against loads that are lost between an agent and the coordinator.
func TestLoadPassesThroughAgents(t *testing.T) {
	r := decodeReport(encodeReport(Report{Running: 7, Waiting: 2}))
	require.Equal(t, 7, r.Running)
	require.Equal(t, 2, r.Waiting)
}

// Guards against a coordinator whose instance cannot be found by the others.
func TestDecodeCoordinator(t *testing.T) {
	group, instance, ok := DecodeCoordinator(coordinatorKeyPrefix+"g0", []byte("front-1/123"))
	require.True(t, ok)
	require.Equal(t, "g0", group)
	require.Equal(t, "front-1", instance)
	for _, key := range []string{"skylarkstep/other/g0", coordinatorKeyPrefix} {
		_, _, ok := DecodeCoordinator(key, []byte("front-1/123"))
		require.False(t, ok)
	}
}

// Guards against requests that are sent to a rank that has stopped to reply: its last
// load stands for a rank with room.
func TestRankWithoutRepliesIsUnresponsive(t *testing.T) {
	c, latest := newLoadCoordinator(t)
	now := time.Now()
	unresponsive := func(reports []Report, sinceLast time.Duration) bool {
		asOf := now
		now = now.Add(sinceLast)
		c.reportLoad(reports, asOf, now)
		return (*latest).Ranks[1].Unresponsive
	}
	require.False(t, unresponsive(loadReports(true, 3, 5, 4), 20*time.Millisecond))
	require.False(t, unresponsive(loadReports(true, 3, -1, 4), agentQueryTimeout), "a lost reply")
	require.True(t, unresponsive(loadReports(true, 3, -1, 4), 2*agentQueryTimeout))
	require.Equal(t, 2, (*latest).Responsive())
	require.Equal(t, 9, (*latest).Requests(), "those of the unresponsive rank do not count")
	require.False(t, unresponsive(loadReports(true, 3, 1, 4), 20*time.Millisecond))

	require.False(t, unresponsive(loadReports(true, 3, -1, 4), 2*pauseOfRounds), "this process was paused itself")
	require.True(t, unresponsive(loadReports(true, 3, -1, 4), 2*agentQueryTimeout))
}
