// Package prefix sends requests with the same prompt prefix to the same target, so
// that the engine finds the prefix in its cache. A load cap limits the imbalance
// (consistent hashing with bounded loads). Multi-probe consistent hashing needs one
// ring point per target: the owner of a prefix is the target nearest to one of
// several hashes of the prefix. Package leastload routes requests without a prefix,
// such as calls to plain services.
//
// A target is skipped if it is clearly slower than the others, or if its load
// exceeds the cap, which is maxImbalance times the mean load plus one request. Then
// the next targets on the ring are tried, and at last package leastload decides.
//
// The age of a report has the same effect as in package leastload. The cap is exact
// at age 0. At 0.5, 2 and 10 s, it applies to the own requests plus the mean of the
// other entries' requests. Without a report, it applies to the own requests over an
// assumed limit of 2. Entries with the same stale report send a popular prefix to
// the same target until their own requests reach the cap. So n entries may exceed
// the cap n-fold until the next report; the admission of the target limits the
// effect.
package prefix
