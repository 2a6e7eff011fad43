// Package jobtest provides fakes for tests of jobs: a keyed log with injectable faults
// (unavailability, delay, lost and delayed appends), and workers that hold leases, check fences,
// run gangs, and verify that the orders they receive obey the rules of scheduling.
//
// Both run in memory and on the runtime's clock, which tests can control with synctest. The tests
// of this package simulate days of random jobs and faults against the real entries and agents.
//
// # Usage
//
//	log := jobtest.NewLog(1)
//	replica := jobstore.NewReplica(log.Client("entry-1"), func() int { return 1 }, zerolog.Nop())
//	log.SetFault("entry-1", jobtest.Fault{Silent: true})
package jobtest

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// Fault describes how the log fails for a client.
type Fault struct {
	// Silent makes calls hang without effect until their context ends.
	Silent bool
	// Refuse makes calls fail at once, without effect.
	Refuse bool
	// Reset makes calls fail at once; a random half of the appends take effect nevertheless.
	Reset bool
	// SilentLongPolls makes reads that wait for new records hang; other calls are answered.
	SilentLongPolls bool
	// Delay is added to the latency of each call.
	Delay time.Duration
	// Lost is the share of appends that take effect but get no response. With Late, they take
	// effect 1 to 5 s later.
	Lost float64
	Late bool
}

// Log is an in-memory keyed topic.
type Log struct {
	mu      sync.Mutex
	records []topic.StoredRecord
	// first is the offset of the oldest record that can be read.
	first int64
	// epochs and sequences hold the newest epoch and sequence number of each producer; answers
	// holds the offset returned for each of its appends.
	epochs    map[string]int64
	sequences map[string]int64
	answers   map[string]map[int64]int64
	// faults maps the names of clients to their faults.
	faults map[string]Fault
	random *rand.Rand
	// changed is closed and replaced at each append.
	changed chan struct{}
}

// NewLog returns an empty log without faults. The seed determines which responses are lost.
func NewLog(seed uint64) *Log {
	return &Log{
		epochs:    map[string]int64{},
		sequences: map[string]int64{},
		answers:   map[string]map[int64]int64{},
		faults:    map[string]Fault{},
		random:    rand.New(rand.NewPCG(seed, 0)),
		changed:   make(chan struct{}),
	}
}

// SetFault sets the fault of a client. The empty name sets the fault of all clients that have none
// of their own.
func (l *Log) SetFault(client string, f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[client] = f
}

// Heal clears all faults.
func (l *Log) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.faults)
}

// Expire makes all existing records unavailable to Read, as if their retention had ended. Newest
// still returns the newest record of each key.
func (l *Log) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.first = int64(len(l.records))
}

// Client returns the client of the log for the named process.
func (l *Log) Client(name string) *LogClient { return &LogClient{log: l, name: name} }

// LogClient is the connection of one process to the log. It implements topic.Log.
type LogClient struct {
	log  *Log
	name string
}

var _ topic.Log = (*LogClient)(nil)

// callDelay is the base latency of each call.
const callDelay = 4 * time.Millisecond

var errReset = errors.New("connection reset")

// applyFault applies the part of the client's fault that precedes the call, and returns the fault
// so that the caller can apply the rest.
func (c *LogClient) applyFault(ctx context.Context) (Fault, error) {
	c.log.mu.Lock()
	fault, ok := c.log.faults[c.name]
	if !ok {
		fault = c.log.faults[""]
	}
	c.log.mu.Unlock()
	switch {
	case fault.Silent:
		<-ctx.Done()
		return fault, ctx.Err()
	case fault.Refuse:
		return fault, topic.ErrRejected
	}
	return fault, sleep(ctx, callDelay+fault.Delay)
}

// Append implements topic.Log.
func (c *LogClient) Append(ctx context.Context, records []topic.Record, condition topic.Condition) (int64, error) {
	fault, err := c.applyFault(ctx)
	if err != nil {
		return 0, err
	}
	c.log.mu.Lock()
	lost := c.log.random.Float64() < fault.Lost
	late := time.Duration(1+c.log.random.IntN(5)) * time.Second
	half := c.log.random.IntN(2) == 0
	c.log.mu.Unlock()
	switch {
	case fault.Reset && half:
		return 0, errReset
	case lost && fault.Late:
		go func() {
			time.Sleep(late)
			_, _ = c.log.append(records, condition)
		}()
		<-ctx.Done()
		return 0, ctx.Err()
	}
	offset, err := c.log.append(records, condition)
	if fault.Reset {
		return 0, errReset
	}
	if lost {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return offset, err
}

// append appends records if the condition holds. As on the users' platform, an append that repeats
// a sequence number of its producer returns the result of the first one, before the other
// conditions are checked.
func (l *Log) append(records []topic.Record, condition topic.Condition) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := int64(len(l.records))
	if p := condition.Producer; p != nil {
		epoch, seen := l.epochs[p.Name]
		if seen && p.Epoch < epoch {
			return 0, topic.ErrFenced
		}
		if seen && p.Epoch == epoch {
			if first, ok := l.answers[p.Name][p.Sequence]; ok {
				return first, nil
			}
			if p.Sequence != l.sequences[p.Name]+1 {
				return 0, topic.ErrFenced
			}
		}
	}
	if condition.CheckEnd && condition.ExpectedEnd != end {
		return 0, topic.ErrConflict
	}
	if p := condition.Producer; p != nil {
		if epoch, seen := l.epochs[p.Name]; !seen || p.Epoch > epoch {
			l.answers[p.Name] = map[int64]int64{}
		}
		l.epochs[p.Name], l.sequences[p.Name] = p.Epoch, p.Sequence
		l.answers[p.Name][p.Sequence] = end
	}
	for i, r := range records {
		l.records = append(l.records, topic.StoredRecord{Record: r, Offset: end + int64(i)})
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return end, nil
}

// Read implements topic.Log.
func (c *LogClient) Read(ctx context.Context, q topic.Query) (topic.Batch, error) {
	fault, err := c.applyFault(ctx)
	if err != nil {
		return topic.Batch{}, err
	}
	if fault.Reset {
		return topic.Batch{}, errReset
	}
	if fault.SilentLongPolls && q.Wait > 0 {
		<-ctx.Done()
		return topic.Batch{}, ctx.Err()
	}
	deadline := time.NewTimer(q.Wait)
	defer deadline.Stop()
	for {
		batch, changed, err := c.log.read(q)
		if err != nil || len(batch.Records) > 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-deadline.C:
			return batch, nil
		case <-ctx.Done():
			return batch, ctx.Err()
		}
	}
}

func (l *Log) read(q topic.Query) (topic.Batch, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := int64(len(l.records))
	if q.From < l.first {
		return topic.Batch{}, nil, topic.ErrExpired
	}
	batch := topic.Batch{End: end}
	if q.From < end {
		batch.Records = append(batch.Records, l.records[q.From:]...)
	}
	if q.Probe {
		batch.Records = batch.Records[:min(1, len(batch.Records))]
	}
	return batch, l.changed, nil
}

// Newest implements topic.Log.
func (c *LogClient) Newest(ctx context.Context) (topic.Batch, error) {
	fault, err := c.applyFault(ctx)
	if err != nil {
		return topic.Batch{}, err
	}
	if fault.Reset {
		return topic.Batch{}, errReset
	}
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	newest := map[string]topic.StoredRecord{}
	for _, r := range c.log.records {
		newest[r.Key] = r
	}
	batch := topic.Batch{End: int64(len(c.log.records))}
	for _, r := range newest {
		if r.Value != nil {
			batch.Records = append(batch.Records, r)
		}
	}
	return batch, nil
}

// sleep pauses for d, or until ctx ends, and returns the error of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	pause.For(ctx, d)
	return ctx.Err()
}
