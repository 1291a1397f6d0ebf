package promptcache

import (
	"hash/maphash"
	"time"
)

const (
	// maxEntries bounds the prompt beginnings that are remembered for one target.
	maxEntries = 512
	// maxAge is how long a beginning is remembered. What was not used for so long has
	// probably been evicted.
	maxAge = 2 * time.Minute
	// maxParts is the number of parts of a prompt that are looked at.
	maxParts = 16
)

// Part is a part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Table remembers which beginnings of prompts were sent to the targets of a back end.
type Table struct {
	seed maphash.Seed
	// capacity is the number of tokens that a target retains.
	capacity float64
	targets  map[string]*held
}

// held is what one incarnation of a target probably holds.
type held struct {
	incarnation int64
	entries     map[uint64]entry
	// read is the number of tokens that the target has read, as far as this instance
	// can tell.
	read float64
}

// entry is a beginning of a prompt.
type entry struct {
	usedAt time.Time
	// readAt is what the target had read when the beginning was last used.
	readAt float64
}

// NewTable returns an empty table of targets that retain a number of tokens.
func NewTable(capacity int) *Table {
	return &Table{seed: maphash.MakeSeed(), capacity: float64(capacity), targets: map[string]*held{}}
}

// beginnings returns a key for each beginning of a prompt, the shortest first, and the
// number of tokens of each. The last part of a prompt belongs to the request alone, so
// that the whole prompt is no beginning.
func (t *Table) beginnings(parts []Part) (keys []uint64, tokens []int) {
	var h maphash.Hash
	h.SetSeed(t.seed)
	sum := 0
	for _, p := range parts[:min(maxParts, max(0, len(parts)-1))] {
		_, _ = h.WriteString(p.ID) // never fails
		_ = h.WriteByte(0)         // never fails
		sum += p.Tokens
		keys, tokens = append(keys, h.Sum64()), append(tokens, sum)
	}
	return keys, tokens
}

// Record records that a target reads a prompt. others is the number of instances that
// send it requests of which this one knows nothing, for each that it sends itself.
func (t *Table) Record(target string, incarnation int64, parts []Part, others float64, now time.Time) {
	h := t.targets[target]
	if h == nil || h.incarnation != incarnation {
		h = &held{incarnation: incarnation, entries: map[uint64]entry{}}
		t.targets[target] = h
	}
	known := t.Held(target, incarnation, parts, now)
	total := 0
	for _, p := range parts {
		total += p.Tokens
	}
	h.read += float64(total-known.Tokens) + others*float64(total)
	keys, _ := t.beginnings(parts)
	for _, k := range keys {
		if _, ok := h.entries[k]; !ok && len(h.entries) >= maxEntries {
			h.makeRoom(now)
		}
		h.entries[k] = entry{usedAt: now, readAt: h.read}
	}
}

// makeRoom forgets what is too old, or else the entry that was not used for longest.
func (h *held) makeRoom(now time.Time) {
	var oldest uint64
	first := true
	for k, e := range h.entries {
		if now.Sub(e.usedAt) > maxAge {
			delete(h.entries, k)
			continue
		}
		if first || e.usedAt.Before(h.entries[oldest].usedAt) {
			oldest, first = k, false
		}
	}
	if len(h.entries) >= maxEntries {
		delete(h.entries, oldest)
	}
}

// Remove forgets a target.
func (t *Table) Remove(target string) { delete(t.targets, target) }

// Holding is the beginning of a prompt that a target probably holds.
type Holding struct {
	Tokens int
	// Chance is the chance that the target still holds it: less the more the target has
	// read since.
	Chance float64
}

// Held returns the longest beginning of a prompt that a target probably holds.
func (t *Table) Held(target string, incarnation int64, parts []Part, now time.Time) Holding {
	h := t.targets[target]
	if h == nil || h.incarnation != incarnation || t.capacity <= 0 {
		return Holding{}
	}
	keys, tokens := t.beginnings(parts)
	for i := len(keys) - 1; i >= 0; i-- {
		e, ok := h.entries[keys[i]]
		if !ok || now.Sub(e.usedAt) > maxAge {
			continue
		}
		if chance := 1 - (h.read-e.readAt)/t.capacity; chance > 0 {
			return Holding{Tokens: tokens[i], Chance: chance}
		}
	}
	return Holding{}
}
