package membership

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests, so that every run gives the
// same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

// Guards against requests to a process that is unresponsive, reachable in one
// direction only, or flapping.
func TestDetectorStates(t *testing.T) {
	var d Detector
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	d.Connected(at(0))
	d.RecordHeartbeat(at(1), at(1))
	assert.Equal(t, Ready, d.State(at(3)))
	assert.Equal(t, Slow, d.State(at(3.1)))
	assert.Equal(t, Suspect, d.State(at(4.1)))
	assert.Equal(t, Unreachable, d.State(at(61.1)))
	d.RecordHeartbeat(at(62), at(62))
	assert.Equal(t, Ready, d.State(at(62)), "one outage is not flapping")

	for s := 63.0; s < 67; s++ {
		d.RecordHeartbeat(at(s), at(62)) // heartbeats arrive, but the peer receives none
	}
	assert.Equal(t, Suspect, d.State(at(66)))
	d.RecordHeartbeat(at(67), at(67))
	assert.Equal(t, Flapping, d.State(at(67)), "three changes within a minute")
	for s := 68.0; s < 98; s++ {
		d.RecordHeartbeat(at(s), at(s))
		assert.False(t, d.State(at(s)).Usable() && s < 97, "at %v s", s)
	}
	assert.Equal(t, Ready, d.State(at(98)), "steady for 30 s")
}

// Guards against new requests more than 3 s after heartbeats of a process last
// arrived in both directions.
func TestNoWorkAfterSilence(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var d Detector
		now := start
		d.Connected(now)
		lastBothWays := now
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0:
				d.RecordHeartbeat(now, now)
				lastBothWays = now
			case 1:
				d.RecordHeartbeat(now, lastBothWays)
			case 2:
				d.Disconnected(now)
				require.False(rt, d.State(now).Usable())
			case 3:
				if d.sessionBroken {
					d.Connected(now)
					lastBothWays = now
				}
			}
			if now.Sub(lastBothWays) > suspectAfter {
				require.False(rt, d.State(now).Usable())
			}
		}
	})
}

func testMembers(n int) []Member {
	list := make([]Member, n)
	for i := range list {
		list[i] = Member{Name: fmt.Sprintf("runner-%05d", i), DataCentre: fmt.Sprintf("dc-%d", i%24)}
	}
	return list
}

// Guards against targets with no sessions or too many, and against a change of
// one member that replaces many pairs. The deployment is planned for this size: on
// average 100 sessions for each entry and 16 for each target.
func TestSubsetsAreBalancedAndMoveLittle(t *testing.T) {
	const entries, targets, removed = 400, 2500, 1711
	all := testMembers(targets)
	without := append(append([]Member{}, all[:removed]...), all[removed+1:]...)
	load := map[string]int{}
	moved := 0
	for e := range entries {
		self := fmt.Sprintf("entry-%04d", e)
		before := Subset(self, append([]Member{}, all...), MaxSessions)
		require.Len(t, before, MaxSessions)
		had := map[string]bool{}
		dcs := map[string]int{}
		for _, m := range before {
			load[m.Name]++
			dcs[m.DataCentre]++
			had[m.Name] = true
		}
		require.Len(t, dcs, 24, "the subset covers every data centre")
		for _, m := range Subset(self, append([]Member{}, without...), MaxSessions) {
			if !had[m.Name] {
				moved++
			}
		}
	}
	lowest, highest := entries, 0
	for _, m := range all {
		lowest, highest = min(lowest, load[m.Name]), max(highest, load[m.Name])
	}
	t.Logf("sessions per target: lowest %d, mean 16, highest %d; new pairs after removing one target: %d of %d",
		lowest, highest, moved, entries*MaxSessions)
	assert.GreaterOrEqual(t, lowest, 1)
	assert.LessOrEqual(t, highest, 40)
	assert.LessOrEqual(t, moved, 2*load[all[removed].Name]+entries/24)
}
