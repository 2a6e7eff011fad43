package telemetry

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// otherLabel is the label value for all unregistered values, which bounds the number of time
// series.
const otherLabel = "other"

// Counters holds a counter for each registered value of a label. It is safe for concurrent use.
type Counters[L ~string] struct {
	counters map[L]tally.Counter
	other    tally.Counter
}

// NewCounters registers a counter for each of the values, and one labelled "other" for all other
// values.
func NewCounters[L ~string](scope tally.Scope, name, label string, values ...L) Counters[L] {
	c := Counters[L]{counters: make(map[L]tally.Counter, len(values)), other: labelled(scope, name, label, otherLabel)}
	for _, v := range values {
		c.counters[v] = labelled(scope, name, label, string(v))
	}
	return c
}

func labelled(scope tally.Scope, name, label, value string) tally.Counter {
	return scope.Tagged(map[string]string{label: value}).Counter(name)
}

// Inc adds 1 to the counter of the label value.
func (c Counters[L]) Inc(value L) { c.Add(value, 1) }

// Add adds n to the counter of the label value.
func (c Counters[L]) Add(value L, n int) {
	counter, ok := c.counters[value]
	if !ok {
		counter = c.other
	}
	counter.Inc(int64(n))
}

// NewDurationHistogram registers a histogram of durations. Its bucket bounds range from
// 1 ms to 8 s, each twice the previous one.
func NewDurationHistogram(scope tally.Scope, name string) tally.Histogram {
	return scope.Histogram(name, tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14))
}
