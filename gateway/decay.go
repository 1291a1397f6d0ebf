package gateway

import (
	"math"
	"time"
)

// decayingCount counts events, of which older ones count less: after a half-life
// an event counts half.
type decayingCount struct {
	value float64
	at    time.Time
}

func (c *decayingCount) valueAt(now time.Time, halfLife time.Duration) float64 {
	return c.value * math.Exp2(-float64(now.Sub(c.at))/float64(halfLife))
}

func (c *decayingCount) increment(now time.Time, halfLife time.Duration) {
	c.value, c.at = c.valueAt(now, halfLife)+1, now
}

// rate returns the number of events per second.
func (c *decayingCount) rate(now time.Time, halfLife time.Duration) float64 {
	return c.valueAt(now, halfLife) * math.Ln2 / halfLife.Seconds()
}
