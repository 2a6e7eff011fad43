package telemetry

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// other is the label for values that were not registered, which keeps the number of series bounded.
const other = "other"

// Counters is a counter for each registered value of a label. It is safe for concurrent use.
type Counters[L ~string] struct {
	counters map[L]tally.Counter
	other    tally.Counter
}

// NewCounters registers a counter for each of the values, and one labelled "other" for the rest.
func NewCounters[L ~string](scope tally.Scope, name, label string, values ...L) Counters[L] {
	c := Counters[L]{counters: make(map[L]tally.Counter, len(values)), other: labelled(scope, name, label, other)}
	for _, v := range values {
		c.counters[v] = labelled(scope, name, label, string(v))
	}
	return c
}

func labelled(scope tally.Scope, name, label, value string) tally.Counter {
	return scope.Tagged(map[string]string{label: value}).Counter(name)
}

// Inc adds 1 to the counter of the value.
func (c Counters[L]) Inc(value L) { c.Add(value, 1) }

// Add adds n to the counter of the value.
func (c Counters[L]) Add(value L, n int) {
	counter, ok := c.counters[value]
	if !ok {
		counter = c.other
	}
	counter.Inc(int64(n))
}

// Times registers a histogram with buckets from 1 ms to 8 s, each twice as wide as the one before.
func Times(scope tally.Scope, name string) tally.Histogram {
	return scope.Histogram(name, tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14))
}
