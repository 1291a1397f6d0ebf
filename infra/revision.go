package infra

// A revision of this package is a number of the store together with the era in
// which the store gave it out, so that comparing two revisions compares their
// eras first. A store that is restored from an older copy begins a new era and
// gives out the same numbers again; its revisions are then higher than all earlier
// ones. A store without eras has only era 0, and its revisions are plain numbers.

const (
	// eraNumberBits is the size of the number of a revision. At 100,000 changes a
	// second, the numbers of an era last for 2.8 years.
	eraNumberBits = 43
	// MaxEra is the highest era that a revision can hold.
	MaxEra = 1<<(63-eraNumberBits) - 1
	// MaxRevisionNumber is the highest number that a revision can hold.
	MaxRevisionNumber = 1<<eraNumberBits - 1
)

// NewRevision returns the revision that the store gave out as number in the era.
// Values beyond MaxEra and MaxRevisionNumber are limited to these.
func NewRevision(era, number int64) int64 {
	era, number = min(max(era, 0), MaxEra), min(max(number, 0), MaxRevisionNumber)
	return era<<eraNumberBits | number
}

// Era returns the era of a revision.
func Era(revision int64) int64 { return revision >> eraNumberBits }

// RevisionNumber returns the number that the store gave out for a revision.
func RevisionNumber(revision int64) int64 { return revision & MaxRevisionNumber }
