package gateway

import "time"

var processStart = time.Now()

// monotonic returns t as nanoseconds since the process started. Unlike the wall
// clock, it never jumps, so it can be stored in an atomic integer.
func monotonic(t time.Time) int64 { return int64(t.Sub(processStart)) }
