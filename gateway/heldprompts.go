package gateway

import (
	"sync"
	"time"

	"github.com/skylarkstep/skylarkstep/routing"
	"github.com/skylarkstep/skylarkstep/routing/promptcache"
)

// heldPrompts estimates, for each back end, which targets still hold the beginnings of
// which prompts. It is empty unless the limits say that targets keep prompts.
type heldPrompts struct {
	mu        sync.Mutex
	byBackend map[string]*promptcache.Table
	capacity  int
}

// table returns the table of a back end whose targets keep a number of tokens. The caller
// holds h.mu.
func (h *heldPrompts) table(backend string, capacity int) *promptcache.Table {
	if h.capacity != capacity || h.byBackend == nil {
		h.byBackend, h.capacity = map[string]*promptcache.Table{}, capacity
	}
	t := h.byBackend[backend]
	if t == nil {
		t = promptcache.NewTable(capacity)
		h.byBackend[backend] = t
	}
	return t
}

// remove forgets a target that has gone.
func (h *heldPrompts) remove(backend, target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t := h.byBackend[backend]; t != nil {
		t.Remove(target)
	}
}

// promptParts returns the parts of the prompt, if targets keep prompts.
func (x *exchange) promptParts() []promptcache.Part {
	if x.g.limits.Load().RetainedPromptTokens <= 0 || len(x.meta.PromptPartTokens) != len(x.meta.PromptParts) {
		return nil
	}
	parts := make([]promptcache.Part, len(x.meta.PromptParts))
	for i, id := range x.meta.PromptParts {
		parts[i] = promptcache.Part{ID: id, Tokens: x.meta.PromptPartTokens[i]}
	}
	return parts
}

// weighHeldPrompts returns the target for the request: the one that was picked by its load,
// or one that saves more reading than its requests add in waiting. It records that the
// target reads the prompt. The caller holds q.mu.
func (q *queue) weighHeldPrompts(req *slotRequest, s *snapshot, candidates []routing.Candidate, picked int, now time.Time) int {
	backend := s.table.Backend(q.backend)
	if len(req.prompt) == 0 || backend == nil || backend.Engine == nil || backend.Engine.ReadTokensPerS <= 0 {
		return picked
	}
	h := &q.g.heldPrompts
	h.mu.Lock()
	defer h.mu.Unlock()
	table := h.table(q.backend, q.g.limits.Load().RetainedPromptTokens)
	targets := s.targets[q.backend]
	option := func(i int) promptcache.Option {
		return promptcache.Option{
			Load: candidates[i].Load, Slots: float64(candidates[i].Slots), Holding: table.Held(targets[i].ID, targets[i].Incarnation, req.prompt, now),
		}
	}
	options, index := []promptcache.Option{option(picked)}, []int{picked}
	total, usable := 0.0, 0.0
	for i := range candidates {
		if !candidates[i].Usable {
			continue
		}
		total, usable = total+candidates[i].Load, usable+1
		if o := option(i); i != picked && o.Holding.Tokens > 0 && !candidates[i].Full() {
			options, index = append(options, o), append(index, i)
		}
	}
	chosen := promptcache.Weigh(options, total/max(1, usable), q.promptCosts(backend.Engine))
	if chosen > 0 {
		q.g.metrics.heldPromptsUsed.Inc(1)
	}
	t := targets[index[chosen]]
	table.Record(t.ID, t.Incarnation, req.prompt, float64(max(0, s.instanceCount-1)), now)
	return index[chosen]
}

// promptCosts returns the times by which targets are weighed. The work of a further request
// is shared by the ranks of a group, except for the part that each rank does itself. The
// caller holds q.mu.
func (q *queue) promptCosts(e *routing.EngineTimes) promptcache.Costs {
	return promptcache.Costs{
		ReadToken:  time.Duration(float64(time.Second) / e.ReadTokensPerS),
		PerRequest: time.Duration((1 - e.ExpertShare) * float64(e.StepsPerPass) * float64(e.PerRequest)),
		SlotTime:   q.meanSlotTime,
	}
}
