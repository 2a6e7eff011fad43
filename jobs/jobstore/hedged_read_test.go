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

// busyLog is a log that takes a while to send records, and answers at once when there are none.
type busyLog struct {
	*jobtest.CountedLog
	takes time.Duration
}

func (l *busyLog) Read(ctx context.Context, q topic.Query) (topic.Batch, error) {
	batch, err := l.CountedLog.Read(ctx, q)
	if !q.Probe && len(batch.Records) > 0 {
		time.Sleep(l.takes)
	}
	return batch, err
}

// TestMuchToReadIsAskedForOnce: the log had rejected a third of 183 entries for 9 s. When it
// accepted them again, each of them read what it had missed, and repeated the read every 80 ms
// until the first was answered. The log could not send that much, no entry got an answer in time
// for 3 s more, and 12 jobs were rejected. How often records are read must not depend on how long
// the log takes to send them.
func TestMuchToReadIsAskedForOnce(t *testing.T) {
	for _, takes := range []time.Duration{400 * time.Millisecond, 800 * time.Millisecond} {
		bubble(t, func(t *testing.T, ctx context.Context, log *jobtest.Log) {
			add(t, log, submission(t, one, "first"))
			busy := &busyLog{CountedLog: &jobtest.CountedLog{Log: log.Client("entry")}}
			r := jobstore.NewReplica(busy, func() int { return 183 }, zerolog.Nop())
			go r.Run(ctx)
			time.Sleep(2 * time.Second)
			log.SetFault("entry", jobtest.Fault{Refuse: true})
			for range 90 {
				add(t, log, progress(t, one, job.Running))
				time.Sleep(100 * time.Millisecond)
			}
			busy.takes = takes
			whole, brief := busy.Whole.Load(), busy.Brief.Load()
			log.Heal()
			time.Sleep(time.Second + takes)
			if got := busy.Whole.Load() - whole; got > 4 {
				t.Errorf("%d full reads, where one takes %v, want one and those that follow", got, takes)
			}
			if got := busy.Brief.Load() - brief; got > 6 {
				t.Errorf("%d probes in %v, want at most 6", got, time.Second+takes)
			}
			if age := time.Since(r.SyncedAt()); age > time.Second {
				t.Errorf("%v after the log was back the replica was last in sync %v ago", time.Second+takes, age)
			}
		})
	}
}

// TestAwayLogIsProbed: while the log was down each of 983 processes read it every 80 ms, 12,000
// times a second in all. All processes together probe it some 500 times a second, however many they
// are; the leader, for which every job waits, probes at the shortest interval.
func TestAwayLogIsProbed(t *testing.T) {
	tests := []struct {
		readers int
		leads   bool
		most    int64
		back    time.Duration
	}{
		{3, false, 65, 100 * time.Millisecond},
		{183, false, 15, 400 * time.Millisecond},
		{366, false, 8, 800 * time.Millisecond},
		{366, true, 65, 100 * time.Millisecond},
	}
	for _, test := range tests {
		bubble(t, func(t *testing.T, ctx context.Context, log *jobtest.Log) {
			add(t, log, submission(t, one, "first"))
			counted := &jobtest.CountedLog{Log: log.Client("entry")}
			r := jobstore.NewReplica(counted, func() int { return test.readers }, zerolog.Nop())
			r.SetLeading(test.leads)
			go r.Run(ctx)
			time.Sleep(2 * time.Second)
			log.SetFault("entry", jobtest.Fault{Refuse: true})
			time.Sleep(time.Second)
			before := counted.Reads()
			time.Sleep(5 * time.Second)
			if got := counted.Reads() - before; got > test.most {
				t.Errorf("one of %d entries read %d times in 5 s of a log that was down, want at most %d",
					test.readers, got, test.most)
			}
			log.Heal()
			time.Sleep(test.back)
			if age := time.Since(r.SyncedAt()); age > test.back {
				t.Errorf("%v after it was back one of %d entries was last in sync %v ago", test.back, test.readers, age)
			}
		})
	}
}

// TestNewsWhileReadsHang: while a log drops its history, reads that wait for records hang. A leader
// learnt of a job only when its hung read had timed out, 1.3 s later, and three urgent jobs were
// late. What a hung read should have returned is read again as soon as a probe finds it: the read
// waits for 0.3 s, an answer takes at most 0.15 s.
func TestNewsWhileReadsHang(t *testing.T) {
	for _, readers := range []int{3, 183} {
		bubble(t, func(t *testing.T, ctx context.Context, log *jobtest.Log) {
			add(t, log, submission(t, one, "first"))
			r := jobstore.NewReplica(log.Client("entry"), func() int { return readers }, zerolog.Nop())
			r.SetLeading(true)
			go r.Run(ctx)
			time.Sleep(time.Second)
			log.SetFault("entry", jobtest.Fault{Deaf: true})
			for i := range 20 {
				id := job.ID(fmt.Sprintf("%016x", 100+i))
				add(t, log, submission(t, id, "next"))
				added := time.Now()
				for _, known := r.Phase(id); !known; _, known = r.Phase(id) {
					if time.Since(added) > 500*time.Millisecond {
						t.Fatalf("with %d readers a job is not known %v after it was stored", readers, time.Since(added))
					}
					time.Sleep(time.Millisecond)
				}
				time.Sleep(137 * time.Millisecond)
			}
		})
	}
}
