package estimate

import "math"

// Bounds tells whether outliers among the samples are left out: those that deviate by more than
// maxDeviation.
type Bounds bool

// The settings of Bounds.
const (
	Bounded   Bounds = true
	Unbounded Bounds = false
)

const (
	// maxDeviation is the logarithm of the factor by which a sample may deviate: three. The workers of
	// one service differ by up to 2.2, which the noise of a task can raise to 3; tasks that take
	// longer for their own sake take 7 times as long.
	maxDeviation = 1.0986
	// persistentAfter is the number of outliers in a row and in one direction from which on they
	// count: a worker that has turned slow and a queue whose estimates are all wrong must be learnt.
	// One in seven gangs of five has a long task if 3 in 100 tasks are long; with two in a row, 2 in
	// 100 samples of such a queue would be outliers that count.
	persistentAfter = 3
)

// outlierStreak counts the latest samples if they are outliers in one direction: positive above,
// negative below. The zero value is that of no outliers.
type outlierStreak int

// leavesOut adds a sample with the given deviation, and reports whether it is to be left out.
func (s *outlierStreak) leavesOut(deviation float64) bool {
	switch {
	case deviation > maxDeviation:
		*s = max(*s, 0) + 1
	case deviation < -maxDeviation:
		*s = min(*s, 0) - 1
	default:
		*s = 0
	}
	return *s != 0 && *s < persistentAfter && *s > -persistentAfter
}

// bounded limits a deviation to maxDeviation.
func bounded(deviation float64) float64 {
	return math.Copysign(min(math.Abs(deviation), maxDeviation), deviation)
}
