package timeline

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against an effect that is stamped before its cause when the clock of
// the receiver is behind.
func TestObservedTimestampsOrderEffects(t *testing.T) {
	var c Clock
	cause := c.Now() + 1000<<counterBits
	c.Observe(cause)
	assert.Greater(t, c.Now(), cause)
	assert.Greater(t, c.Now(), cause+1)
}

// Guards against a ring that hides that events were overwritten.
func TestRecorderCountsOverwritten(t *testing.T) {
	var c Clock
	r := NewRecorder(&c, "p", "dc", 1, 4)
	for range 6 {
		r.Record(Event{Kind: Refused})
	}
	events, overwritten := r.Since(0)
	assert.Len(t, events, 4)
	assert.EqualValues(t, 2, overwritten)
	assert.EqualValues(t, 2, events[0].Sequence)
	events, overwritten = r.Since(5)
	assert.Len(t, events, 1)
	assert.Zero(t, overwritten)
}
