package e2e

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/platform/platformtest"
)

// handOverTime limits the time from a SIGTERM to the first round of the next
// coordinator: the check of the store, the message and the next look for a token.
const handOverTime = 2 * time.Second

// coordinates reports whether the process has coordinated with a fencing number.
func (p *platformProcess) coordinates(fencing uint64) bool {
	return strings.Contains(p.out.String(), fmt.Sprintf(`"msg":"coordinating","instance":%q,"role":"gateway","fencing":%d}`, "gateway-"+p.ip, fencing))
}

// fencing returns the number with which the process has coordinated last, or 0.
func (p *platformProcess) fencing() (number uint64) {
	for line := range strings.Lines(p.out.String()) {
		var record struct {
			Msg     string `json:"msg"`
			Fencing uint64 `json:"fencing"`
		}
		if json.Unmarshal([]byte(line), &record) == nil && record.Msg == "coordinating" {
			number = record.Fencing
		}
	}
	return number
}

// Guards against a group without a coordinator when gateways stop in an outage of
// the store: two at the same moment, and their successor directly after it has
// taken the term over.
func TestTermSurvivesStopsInOutage(t *testing.T) {
	d := newPlatformDeployment(t)
	experts := &platformtest.Experts{Sets: 1, Experts: 4, Placements: 4, Spare: 1}
	require.NoError(t, platformtest.PutConfig(t.Context(), d.store, 2, platformtest.Service{Name: "s", Experts: experts}))
	d.start("rank").waitForLog("rank joined")
	var gateways []*platformProcess
	for range 4 {
		gateways = append(gateways, d.start("gateway"))
	}
	coordinator := -1
	require.Eventually(t, func() bool {
		coordinator = slices.IndexFunc(gateways, func(p *platformProcess) bool { return p.fencing() != 0 })
		return coordinator >= 0
	}, waitTimeout, 10*time.Millisecond)
	for _, p := range gateways {
		require.Eventually(t, func() bool { return strings.Count(p.out.String(), `"msg":"instance heard"`) >= len(gateways)-1 }, waitTimeout, 10*time.Millisecond)
	}
	term := gateways[coordinator].fencing()
	staying := slices.Delete(slices.Clone(gateways), coordinator, coordinator+1)
	d.store.SetRefuse(true)
	staying[0].signal(syscall.SIGTERM)
	gateways[coordinator].signal(syscall.SIGTERM)
	staying = staying[1:]
	for len(staying) > 0 {
		next := -1
		require.Eventually(t, func() bool {
			next = slices.IndexFunc(staying, func(p *platformProcess) bool { return p.coordinates(term) })
			return next >= 0
		}, handOverTime, 5*time.Millisecond, "nobody coordinates; %d processes stay", len(staying))
		staying[next].signal(syscall.SIGTERM)
		staying = slices.Delete(staying, next, next+1)
	}
}
