package routing

import (
	"math"
	"time"
)

// DecayingCount counts events, of which older ones count less: after a half-life
// an event counts half.
type DecayingCount struct {
	value float64
	at    time.Time
}

// ValueAt returns the count at a time.
func (c *DecayingCount) ValueAt(now time.Time, halfLife time.Duration) float64 {
	return c.value * math.Exp2(-float64(now.Sub(c.at))/float64(halfLife))
}

// Increment counts an event.
func (c *DecayingCount) Increment(now time.Time, halfLife time.Duration) {
	c.value, c.at = c.ValueAt(now, halfLife)+1, now
}

// Rate returns the number of events per second.
func (c *DecayingCount) Rate(now time.Time, halfLife time.Duration) float64 {
	return c.ValueAt(now, halfLife) * math.Ln2 / halfLife.Seconds()
}
