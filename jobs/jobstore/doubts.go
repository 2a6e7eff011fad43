package jobstore

import (
	"maps"
	"sync"
	"time"
)

const (
	// doubtRetention is how long a record that was sent to the log, and whose outcome is unknown, may
	// still be stored. It exceeds the deadlines of callers and appends together with any delay of an
	// append that the platform allows for.
	doubtRetention = 30 * time.Second
	// maxDoubts bounds the number of tracked records. It is more than the records of callers that
	// the largest deployment stores in a day.
	maxDoubts = 4096
)

// doubts tracks the keys of callers' records that this process has sent to the log, or to another
// entry, and of which it doesn't know that they were not stored. It is safe for concurrent use.
type doubts struct {
	mu   sync.Mutex
	keys map[string]doubt
	// fullUntil is the time until which every record counts as in doubt, because there were more than
	// can be tracked.
	fullUntil time.Time
}

// doubt is a record whose outcome is not known.
type doubt struct {
	// calls is the number of calls that are storing the record now.
	calls int
	// until is the time until which an earlier call may still take effect.
	until time.Time
}

func (d doubt) open(now time.Time) bool { return d.calls > 0 || now.Before(d.until) }

func newDoubts() *doubts { return &doubts{keys: map[string]doubt{}} }

// begin marks the record of a key as being stored by one more call. It returns the function that ends
// the call. Unless it is uncertain whether the call took effect, the record is stored or that call
// never stores it.
func (d *doubts) begin(key string) (end func(uncertain bool)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if len(d.keys) >= maxDoubts {
		maps.DeleteFunc(d.keys, func(_ string, v doubt) bool { return !v.open(now) })
	}
	if len(d.keys) >= maxDoubts {
		d.fullUntil = now.Add(doubtRetention)
		return func(uncertain bool) { d.endUntracked(uncertain) }
	}
	v := d.keys[key]
	v.calls++
	d.keys[key] = v
	return func(uncertain bool) { d.end(key, uncertain) }
}

// endUntracked ends a call that did not fit into the table.
func (d *doubts) endUntracked(uncertain bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if uncertain {
		d.fullUntil = time.Now().Add(doubtRetention)
	}
}

// end ends a call that is tracked.
func (d *doubts) end(key string, uncertain bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v, now := d.keys[key], time.Now()
	v.calls = max(v.calls-1, 0)
	if uncertain {
		v.until = now.Add(doubtRetention)
	}
	if v.open(now) {
		d.keys[key] = v
	} else {
		delete(d.keys, key)
	}
}

// has reports whether the record of a key may be stored without this process knowing it.
func (d *doubts) has(key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	return d.keys[key].open(now) || now.Before(d.fullUntil)
}
