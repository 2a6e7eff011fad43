package runner

import (
	"maps"
	"slices"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// endLog holds the ends that the worker has listed. Their numbers increase from 1 within an
// incarnation.
type endLog struct {
	// unstored holds, by number, the ends that the leader has not stored yet.
	unstored map[int64]assignment.End
	// acked is the highest end number that the leader has stored, forgotten the highest that the
	// worker has dropped.
	acked, forgotten int64
}

// ack records that the leader has stored the ends up to a number. It reports whether that number is
// higher than before.
func (l *endLog) ack(number int64) bool {
	if number <= l.acked {
		return false
	}
	l.acked = number
	maps.DeleteFunc(l.unstored, func(n int64, _ assignment.End) bool { return n <= number })
	return true
}

// has reports whether the end of a run is waiting to be stored by the leader.
func (l *endLog) has(id assignment.RunID) bool {
	for _, e := range l.unstored {
		if e.RunID == id {
			return true
		}
	}
	return false
}

// list returns the unstored ends, sorted by number.
func (l *endLog) list() []assignment.End {
	var ends []assignment.End
	for _, n := range slices.Sorted(maps.Keys(l.unstored)) {
		ends = append(ends, l.unstored[n])
	}
	return ends
}
