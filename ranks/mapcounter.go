package ranks

import "sync"

// mapCounter counts the maps that this process has planned for a group under a
// fencing number. It lasts longer than a coordinator: a process may lose its token
// for a moment, for instance because it was paused or the store is slow, and get it
// back with the same number. Without the count, the version of an earlier map would
// be given to another one, and ranks that hold either would switch at the same step.
type mapCounter struct {
	mu      sync.Mutex
	fencing uint64 // the highest number that was used
	maps    uint64
}

// resume records that a number of maps has been planned under a fencing number, by
// this process or by the one that handed the term over.
func (m *mapCounter) resume(fencing, maps uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case fencing > m.fencing:
		m.fencing, m.maps = fencing, maps
	case fencing == m.fencing:
		m.maps = max(m.maps, maps)
	}
}

// add counts one more map under the highest fencing number.
func (m *mapCounter) add() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.maps++
}

// planned returns the number of maps under a fencing number. It returns false if a
// higher number has been used since, so that the count is not known any more.
func (m *mapCounter) planned(fencing uint64) (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if fencing > m.fencing {
		return 0, true
	}
	return m.maps, fencing == m.fencing
}
