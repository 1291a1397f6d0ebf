package timeline

import (
	"sync"
	"time"
)

// Timestamp is a time of a hybrid logical clock: milliseconds of wall-clock time
// in the upper 48 bits and a counter in the lower 16.
type Timestamp uint64

const counterBits = 16

// Time returns the wall-clock part of the timestamp.
func (t Timestamp) Time() time.Time { return time.UnixMilli(int64(t >> counterBits)) }

// Clock is a hybrid logical clock. Now returns a timestamp greater than every one
// returned or observed before, so that an effect never precedes its cause even if
// the wall clocks of processes differ.
type Clock struct {
	mu   sync.Mutex
	last Timestamp
}

// Now returns a new timestamp.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := Timestamp(time.Now().UnixMilli()) << counterBits
	c.last = max(c.last+1, wall)
	return c.last
}

// Observe advances the clock to at least the timestamp of a received message.
func (c *Clock) Observe(t Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, t)
}
