package gateway

import "time"

var processStart = time.Now()

// monotonic returns the time since the process started. Unlike the time of day
// it does not jump, so it can be kept in an integer.
func monotonic(t time.Time) int64 { return int64(t.Sub(processStart)) }
