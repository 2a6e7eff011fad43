package runner

import (
	"maps"
	"slices"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// endLog holds the ends that the worker has listed. Their numbers rise from 1 within an
// incarnation.
type endLog struct {
	// unstored are the ends, by number, that the leader has not stored yet.
	unstored map[int64]assignment.End
	// acked is up to which end the leader has stored them, forgotten up to which the worker has
	// dropped them.
	acked, forgotten int64
}

// ack notes that the leader has stored the ends up to a number. It reports whether that is news.
func (l *endLog) ack(number int64) bool {
	if number <= l.acked {
		return false
	}
	l.acked = number
	maps.DeleteFunc(l.unstored, func(n int64, _ assignment.End) bool { return n <= number })
	return true
}

// has reports whether the end of a run is about to be reported.
func (l *endLog) has(id assignment.RunID) bool {
	for _, e := range l.unstored {
		if e.RunID == id {
			return true
		}
	}
	return false
}

// list returns the unstored ends by number.
func (l *endLog) list() []assignment.End {
	var ends []assignment.End
	for _, n := range slices.Sorted(maps.Keys(l.unstored)) {
		ends = append(ends, l.unstored[n])
	}
	return ends
}
