package timeline

import (
	"sync"
	"time"
)

// Timestamp is a hybrid logical clock reading: milliseconds of wall-clock time
// in the upper 48 bits and a counter in the lower 16.
type Timestamp uint64

const counterBits = 16

// Time returns the wall-clock part.
func (t Timestamp) Time() time.Time { return time.UnixMilli(int64(t >> counterBits)) }

// Clock is a hybrid logical clock. Now is always greater than every timestamp
// returned or observed before, so that an effect never precedes its cause
// although wall clocks differ.
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

// Observe takes in the timestamp of a received message.
func (c *Clock) Observe(t Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, t)
}
