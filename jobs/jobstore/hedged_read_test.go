package jobstore_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobstore"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// slowLog is a log that takes time to return records, and responds immediately if there are none.
type slowLog struct {
	*jobtest.CountedLog
	delay time.Duration
}

func (l *slowLog) Read(ctx context.Context, q topic.Query) (topic.Batch, error) {
	batch, err := l.CountedLog.Read(ctx, q)
	if !q.Probe && len(batch.Records) > 0 {
		time.Sleep(l.delay)
	}
	return batch, err
}

// TestMuchToReadIsAskedForOnce guards against an overload of the log after an outage. The log had
// rejected a third of 183 entries for 9 s. When it accepted them again, each of them repeated the
// read of the missed records every 80 ms until the first read returned. The log could not send that
// much: no entry got a response in time for another 3 s, and 12 jobs were rejected. The rate of
// full reads must not depend on how long the log takes to send records.
func TestMuchToReadIsAskedForOnce(t *testing.T) {
	for _, delay := range []time.Duration{400 * time.Millisecond, 800 * time.Millisecond} {
		runBubble(t, func(t *testing.T, ctx context.Context, log *jobtest.Log) {
			appendRecords(t, log, submission(t, one, "first"))
			slow := &slowLog{CountedLog: &jobtest.CountedLog{Log: log.Client("entry")}}
			r := jobstore.NewReplica(slow, func() int { return 183 }, zerolog.Nop())
			go r.Run(ctx)
			time.Sleep(2 * time.Second)
			log.SetFault("entry", jobtest.Fault{Refuse: true})
			for range 90 {
				appendRecords(t, log, progress(t, one, job.Running))
				time.Sleep(100 * time.Millisecond)
			}
			slow.delay = delay
			fullReads, probes := slow.FullReads.Load(), slow.Probes.Load()
			log.Heal()
			time.Sleep(time.Second + delay)
			if got := slow.FullReads.Load() - fullReads; got > 4 {
				t.Errorf("%d full reads that take %v each, want at most 4", got, delay)
			}
			if got := slow.Probes.Load() - probes; got > 6 {
				t.Errorf("%d probes in %v, want at most 6", got, time.Second+delay)
			}
			if age := time.Since(r.SyncedAt()); age > time.Second {
				t.Errorf("%v after the log recovered the replica was last in sync %v ago", time.Second+delay, age)
			}
		})
	}
}

// TestAwayLogIsProbed guards against probing that grows with the number of processes. While the log
// was down, each of 983 processes read it every 80 ms, 12,000 times per second in total. All
// processes together now probe about 500 times per second, however many there are. Only the leader,
// which every job depends on, probes at the shortest interval.
func TestAwayLogIsProbed(t *testing.T) {
	tests := []struct {
		readers  int
		leading  bool
		maxReads int64
		maxAge   time.Duration
	}{
		{3, false, 65, 100 * time.Millisecond},
		{183, false, 15, 400 * time.Millisecond},
		{366, false, 8, 800 * time.Millisecond},
		{366, true, 65, 100 * time.Millisecond},
	}
	for _, test := range tests {
		runBubble(t, func(t *testing.T, ctx context.Context, log *jobtest.Log) {
			appendRecords(t, log, submission(t, one, "first"))
			counted := &jobtest.CountedLog{Log: log.Client("entry")}
			r := jobstore.NewReplica(counted, func() int { return test.readers }, zerolog.Nop())
			r.SetLeading(test.leading)
			go r.Run(ctx)
			time.Sleep(2 * time.Second)
			log.SetFault("entry", jobtest.Fault{Refuse: true})
			time.Sleep(time.Second)
			before := counted.Reads()
			time.Sleep(5 * time.Second)
			if got := counted.Reads() - before; got > test.maxReads {
				t.Errorf("one of %d entries read a log that was down %d times in 5 s, want at most %d",
					test.readers, got, test.maxReads)
			}
			log.Heal()
			time.Sleep(test.maxAge)
			if age := time.Since(r.SyncedAt()); age > test.maxAge {
				t.Errorf("%v after the log recovered one of %d entries was last in sync %v ago", test.maxAge, test.readers, age)
			}
		})
	}
}

// TestNewsWhileReadsHang guards against a leader that waits for a hung read. While a log drops its
// history, reads that wait for records hang. The leader saw a job only after its hung read had
// timed out, 1.3 s later, and three urgent jobs were late. The records must be read again as soon
// as a probe finds them: the read waits for 0.3 s, and a response takes at most 0.15 s.
func TestNewsWhileReadsHang(t *testing.T) {
	for _, readers := range []int{3, 183} {
		runBubble(t, func(t *testing.T, ctx context.Context, log *jobtest.Log) {
			appendRecords(t, log, submission(t, one, "first"))
			r := jobstore.NewReplica(log.Client("entry"), func() int { return readers }, zerolog.Nop())
			r.SetLeading(true)
			go r.Run(ctx)
			time.Sleep(time.Second)
			log.SetFault("entry", jobtest.Fault{SilentLongPolls: true})
			for i := range 20 {
				id := job.ID(fmt.Sprintf("%016x", 100+i))
				appendRecords(t, log, submission(t, id, "next"))
				added := time.Now()
				for _, known := r.Phase(id); !known; _, known = r.Phase(id) {
					if time.Since(added) > 500*time.Millisecond {
						t.Fatalf("with %d readers a job is unknown %v after it was stored", readers, time.Since(added))
					}
					time.Sleep(time.Millisecond)
				}
				time.Sleep(137 * time.Millisecond)
			}
		})
	}
}
