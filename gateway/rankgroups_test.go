package gateway

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/routing"
)

// decodeTestRank decodes records of the form "rank/NUMBER" or "rank/NAME/NUMBER" with
// "ADDR GROUP".
func decodeTestRank(key string, value []byte) (routing.RankMember, bool) {
	number := key[strings.LastIndex(key, "/")+1:]
	var record string
	if !strings.HasPrefix(key, "rank/") || json.Unmarshal(value, &record) != nil {
		return routing.RankMember{}, false
	}
	rank, err := strconv.Atoi(number)
	addr, group, ok := strings.Cut(record, " ")
	return routing.RankMember{Addr: addr, Group: group, Rank: rank}, ok && err == nil
}

// groupConfig returns the usual configuration, in which the targets form rank groups.
func groupConfig() routing.Config {
	cfg := patientConfig()
	cfg.Backends[0].Experts = &routing.ExpertShape{Sets: 1, Experts: 2}
	return cfg
}

// startGroups starts an instance before targets that are ranks of the given groups.
// The first target crashes on its first request. None of the others answers before
// release is closed.
func startGroups(t *testing.T, release chan struct{}, groups ...string) (*deployment, *instance, []*fakeTarget) {
	var targets []*fakeTarget
	for i := range groups {
		f := startFakeTarget(t, fmt.Sprint("r", i), nil)
		f.handle = func(w net.Conn, r *http.Request) {
			if i == 0 {
				_ = f.listener.Close()
				reset(w)
				return
			}
			if groups[i] == groups[0] {
				<-release
			}
			answerKind(w, r)
		}
		targets = append(targets, f)
	}
	d := newDeployment(t, groupConfig(), targets...)
	d.decodeRank = decodeTestRank
	for i, group := range groups {
		d.put(fmt.Sprint("rank/", i), targets[i].listener.Addr().String()+" "+group)
	}
	g := d.start("g1")
	require.Eventually(t, func() bool { return g.targetCount() == len(groups) }, time.Second, time.Millisecond)
	return d, g, targets
}

// crashFirst sends requests until one has crashed the first target.
func crashFirst(t *testing.T, g *instance, targets []*fakeTarget) {
	for _, other := range targets[1:] {
		g.target(other.id).pauseUntil(time.Now().Add(100 * time.Millisecond))
	}
	resp := g.requestWithin(t.Context(), 200*time.Millisecond, http.MethodPost, "/chat/crash", "")
	require.NotEqual(t, http.StatusOK, resp.status)
	require.EqualValues(t, 1, targets[0].requests.Load())
	time.Sleep(100 * time.Millisecond)
}

// Guards against requests that are sent to the other ranks of a group after one has
// crashed. Each would wait there until it is lost; instead it learns when to return.
func TestCrashOfRankStopsItsGroup(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	_, g, targets := startGroups(t, release, "a", "a", "a")
	crashFirst(t, g, targets)
	for i := range 10 {
		resp := g.requestWithin(t.Context(), 2*time.Second, http.MethodPost, fmt.Sprint("/chat/", i), "")
		require.NoError(t, resp.err)
		require.Equal(t, http.StatusServiceUnavailable, resp.status, resp.body)
		require.NotEmpty(t, resp.header.Get("Retry-After"))
	}
	require.Zero(t, targets[1].requests.Load()+targets[2].requests.Load())
}

// Guards against a back end that stops serving although another of its groups is
// complete.
func TestCrashOfRankLeavesOtherGroups(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	_, g, targets := startGroups(t, release, "a", "a", "b")
	crashFirst(t, g, targets)
	for i := range 5 {
		resp := g.requestWithin(t.Context(), 4*time.Second, http.MethodPost, fmt.Sprint("/chat/", i), "")
		require.Equal(t, http.StatusOK, resp.status, resp.body)
	}
	require.Zero(t, targets[1].requests.Load())
}

// Guards against a request that crashed a rank and crashes the group again when its
// caller repeats it: one crash costs all requests of the group some seconds.
func TestRequestIsKeptFromGroupAfterOneCrash(t *testing.T) {
	release := make(chan struct{})
	close(release)
	_, g, targets := startGroups(t, release, "a", "a")
	crashFirst(t, g, targets)
	require.Eventually(t, func() bool {
		return g.requestWithin(t.Context(), 4*time.Second, http.MethodPost, "/chat/other", "").status == http.StatusOK
	}, 8*time.Second, 50*time.Millisecond)
	before := targets[1].requests.Load()
	resp := g.request(t.Context(), http.MethodPost, "/chat/crash", "")
	require.Equal(t, http.StatusServiceUnavailable, resp.status, resp.body)
	require.Contains(t, resp.body, "quarantined")
	require.Equal(t, before, targets[1].requests.Load())
}

// Guards against a group that is remembered by the address of a rank whose record has
// changed or was deleted.
func TestRankGroupsFollowRecords(t *testing.T) {
	r := newRankGroups()
	member := func(addr, group string) routing.RankMember { return routing.RankMember{Addr: addr, Group: group} }
	r.set("k1", member("addr1", "a"))
	r.set("k2", member("addr2", "a"))
	r.set("k1", member("addr3", "b"))
	require.Equal(t, map[string]routing.RankMember{"addr2": member("addr2", "a"), "addr3": member("addr3", "b")}, r.byAddr)
	r.set("k2", member("addr3", "a")) // another rank has got the address
	r.set("k1", routing.RankMember{})
	require.Equal(t, map[string]routing.RankMember{"addr3": member("addr3", "a")}, r.byAddr)
}
