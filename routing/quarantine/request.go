package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// requestCulprit returns the request that was in progress at the most crashes. Of
// requests that were always in progress together, none is chosen before
// ambiguousCrashes: until then they are probed one by one.
func requestCulprit(found map[string]*crashRecord, now time.Time) *crashRecord {
	var requests []*crashRecord
	for _, s := range found {
		if IsRequest(s.subject) {
			requests = append(requests, s)
		}
	}
	slices.SortFunc(requests, func(a, b *crashRecord) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.subject, b.subject))
	})
	for _, s := range requests {
		isCulprit := len(s.crashes) >= requestCrashes && s.weight >= minCrashWeight && s.isSettled(requestCrashes, now) &&
			(s.isNew || s.moments() >= changedRequestMoments)
		if isCulprit && (len(s.crashes) >= ambiguousCrashes || !s.isAmbiguous(requests)) {
			return s
		}
	}
	return nil
}

// isAmbiguous reports whether another request was in progress at all crashes of
// this one.
func (s *crashRecord) isAmbiguous(requests []*crashRecord) bool {
	return slices.ContainsFunc(requests, func(other *crashRecord) bool {
		return other != s && !slices.ContainsFunc(s.crashes, func(id CrashID) bool { return !slices.Contains(other.crashes, id) })
	})
}
