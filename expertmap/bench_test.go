package expertmap

import (
	"encoding/json"
	"testing"
)

// BenchmarkCoordinators runs one switch in each of 52 groups of 64 ranks: the
// share of one of 24 data centres in 1,250 groups.
func BenchmarkCoordinators(b *testing.B) {
	const groups, ranks = 52, 64
	b.ReportAllocs()
	states := make([]*modelState, groups)
	coords := make([]*Coordinator, groups)
	for i := range states {
		states[i] = newModelState(ranks, budget{})
		states[i].lastStep = 1 << 60
		coords[i] = NewCoordinator(1, ranks, oldMap)
	}
	messages := 0
	run := func(i int, out []Message) {
		for len(out) > 0 {
			var next []Message
			for _, m := range out {
				messages += 2
				next = append(next, coords[i].Handle(states[i].deliver(m, allSafeguards))...)
			}
			out = next
		}
	}
	load := func(i int) {
		for k := range states[i].nodes {
			r := &states[i].nodes[k].rank
			if id, ok := r.MapToLoad(); ok {
				r.MapLoaded(id)
			}
		}
	}
	for i := range coords {
		run(i, coords[i].Resend())
	}
	messages = 0
	for b.Loop() {
		for i, c := range coords {
			step := states[i].nodes[0].rank.status.Step
			run(i, c.Propose(22, step+1))
			load(i)
			run(i, c.Resend())
			for k := range states[i].nodes {
				states[i].nodes[k].rank.EnterNextStep()
			}
		}
	}
	b.ReportMetric(float64(messages)/float64(b.N)/groups, "messages/switch")
	request, _ := json.Marshal(coords[0].message(Commit, 5))
	reply, _ := json.Marshal(states[0].nodes[5].rank.newReport(Message{Fencing: 1, Round: 1}))
	b.ReportMetric(float64(len(request)+len(reply))/2, "bytes/message")
}
