package catalog_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// TestReadersOfOperatorsRecords: each of 183 entries read the operators' records twice a second,
// a fourth of all calls to the log, though they rarely change. The more entries there are the
// longer each waits for new records, which come as soon as before, and the proof stays young
// enough for requests with keys to be accepted in the first 3 s of an outage.
func TestReadersOfOperatorsRecords(t *testing.T) {
	const watched = 10 * time.Second
	tests := []struct {
		name    string
		readers int
		leads   bool
		most    int64
		oldest  time.Duration
	}{
		{"three entries", 3, false, 21, 1100 * time.Millisecond},
		{"183 entries", 183, false, 15, 1500 * time.Millisecond},
		{"366 entries", 366, false, 15, 1500 * time.Millisecond},
		{"366 entries, the leader", 366, true, 21, 1100 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer func() { cancel(); time.Sleep(10 * time.Second) }()
				log := jobtest.NewLog(1)
				put := func(version int) {
					record := topic.Record{Key: "config", Value: fmt.Append(nil, version)}
					if _, err := log.Client("operator").Append(ctx, []topic.Record{record}, topic.Condition{}); err != nil {
						t.Fatal(err)
					}
				}
				put(1)
				counted := &jobtest.CountedLog{Log: log.Client("e")}
				f := catalog.NewFollower(counted, catalog.Format{ConfigKey: "config", Config: decode}, zerolog.Nop()).
					WithReaders(func() int { return test.readers }, func() bool { return test.leads })
				go f.Run(ctx)
				time.Sleep(2 * time.Second)
				before := counted.Reads()
				for began := time.Now(); time.Since(began) < watched; time.Sleep(10 * time.Millisecond) {
					if _, proof := f.Current(); time.Since(proof) > test.oldest {
						t.Fatalf("the proof is %v old, want at most %v", time.Since(proof), test.oldest)
					}
				}
				if got := counted.Reads() - before; got > test.most {
					t.Errorf("%d reads in %v, want at most %d", got, watched, test.most)
				}
				put(2)
				time.Sleep(10 * time.Millisecond)
				if c, _ := f.Current(); c.Version != 2 {
					t.Error("a new configuration is not in force 10 ms after it was stored")
				}
			})
		})
	}
}
