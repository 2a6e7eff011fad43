// Package jobtest holds fakes for tests of jobs: a keyed log that can be down, slow, and lose or
// delay appends, and workers that hold leases, check fences, keep gangs together, and check the
// rules for what they are told to do.
//
// Both work in memory and on the runtime's clock, which tests can pause. The tests of this package
// play days of drawn jobs and faults against the real entries and agents.
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

// Fault is how the log treats a client.
type Fault struct {
	// Silent calls have no effect and get no answer.
	Silent bool
	// Refuse lets calls fail at once, without an effect.
	Refuse bool
	// Reset lets calls fail at once; half of the appends take effect all the same.
	Reset bool
	// Deaf reads, those that wait for new records, get no answer. All others do.
	Deaf bool
	// Delay is added to each answer.
	Delay time.Duration
	// Lost is the share of appends that take effect and get no answer. With Late they take effect
	// seconds later.
	Lost float64
	Late bool
}

// Log is a keyed topic in memory.
type Log struct {
	mu      sync.Mutex
	records []topic.StoredRecord
	// first is the offset of the oldest record that reads can start from.
	first int64
	// epochs and sequences hold the newest of each producer, and answers the offset that each of
	// its appends got.
	epochs    map[string]int64
	sequences map[string]int64
	answers   map[string]map[int64]int64
	// faults are by the name of the client.
	faults map[string]Fault
	random *rand.Rand
	// changed is closed and replaced at each append.
	changed chan struct{}
}

// NewLog returns an empty topic without faults. The seed draws which answers are lost.
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

// SetFault sets the fault of a client. The empty name stands for all clients without a fault of
// their own.
func (l *Log) SetFault(client string, f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[client] = f
}

// Heal ends all faults.
func (l *Log) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.faults)
}

// Expire drops all records but the newest of each key.
func (l *Log) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.first = int64(len(l.records))
}

// Client returns the log as the process of the name reaches it.
func (l *Log) Client(name string) *LogClient { return &LogClient{log: l, name: name} }

// LogClient is the log as one process reaches it. It implements topic.Log.
type LogClient struct {
	log  *Log
	name string
}

var _ topic.Log = (*LogClient)(nil)

// callDelay is how long each call takes.
const callDelay = 4 * time.Millisecond

var errReset = errors.New("connection reset")

// applyFault applies the part of the client's fault that comes before a call, and returns it for
// the rest.
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

// append carries an append out. As on the users' platform, an append that repeats a sequence number
// of its producer gets the first one's answer, before other conditions are checked.
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
	if fault.Deaf && q.Wait > 0 {
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

// sleep waits, and returns the error of ctx if it has ended.
func sleep(ctx context.Context, d time.Duration) error {
	pause.For(ctx, d)
	return ctx.Err()
}
