// Package prefix sends requests with the same prompt prefix to the same target,
// so that the engine finds the prefix in its cache, with a cap on the imbalance
// (consistent hashing with bounded loads). Multi-probe consistent hashing needs
// one point a target: the owner is the target nearest to one of several hashes.
// Requests without a prefix, such as calls to plain services, go by package
// leastload.
//
// A target is passed over when it is clearly slower than the others, or when its
// load exceeds the cap, which is imbalance times the mean load plus one request;
// then the next ones on the ring are tried, and
// at last package leastload decides.
//
// Age of the report: as in package leastload, so the cap is exact at age 0 and
// holds for the own requests plus the mean of the others' at 0.5, 2 and 10 s. No
// report: own requests over an assumed limit of 2. Entries with the same stale
// report send a popular prefix to the same target until their own requests reach
// the cap, so n entries may exceed the cap n-fold until the next report; the
// admission of the target bounds the harm.
package prefix
