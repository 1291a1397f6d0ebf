package entry

import (
	"io"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/daemon/node"
)

// Guards against address responses that contain an entry that is out of
// service, stopping or in another customer's data centres, that rank an
// unreachable entry above a reachable one, or that rank the same entry first
// for all callers.
func TestEntriesFor(t *testing.T) {
	s := &config.Settings{Role: config.RoleEntry, Name: "a1"}
	e := New(Options{Settings: s, Node: node.New(s, io.Discard)})
	cfg := &config.Config{Rules: config.Rules{
		DataCentresOut: []string{"d"},
		Serve:          []config.ServeRule{{Customer: "only-b", DataCentres: []string{"b"}}, {Customer: "only-d", DataCentres: []string{"d"}}},
	}}
	for _, en := range []struct{ name, dc string }{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"b2", "b"}, {"c1", "c"}, {"d1", "d"}} {
		cfg.Inventory.Entries = append(cfg.Inventory.Entries, config.Entry{Name: en.name, DataCentre: en.dc})
	}
	snap := &snapshot{
		config: cfg, leaving: map[string]bool{"a2": true},
		reachableEntries: map[string]bool{"a2": true, "b1": true, "c1": true, "d1": true},
	}
	rng := rand.New(rand.NewPCG(1, 1))
	names := func(customer string) []string {
		var list []string
		for _, en := range e.entriesFor(snap, customer, rng.Perm) {
			list = append(list, en.Name)
		}
		return list
	}
	first := map[string]int{}
	for range 300 {
		got := names("any")
		first[got[0]]++
		assert.ElementsMatch(t, []string{"a1", "b1", "c1", "b2"}, got)
		assert.Equal(t, "b2", got[3], "an entry without heartbeats comes last")
	}
	for _, name := range []string{"a1", "b1", "c1"} {
		assert.InDelta(t, 100, first[name], 40, name)
	}
	assert.Equal(t, []string{"b1", "b2"}, names("only-b"))
	assert.NotEmpty(t, names("only-d"), "a customer without an entry of its own")
}
