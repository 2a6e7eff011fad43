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

// TestReadersOfOperatorsRecords checks that the load on the log is limited by longer waits when
// there are more readers. With a fixed wait, 183 entries each read the operators' records twice per
// second, a quarter of all calls to the log, although the records rarely change. New records must
// still arrive at once, and the last confirmation must stay recent enough that requests with keys
// are accepted in the first 3 s of an outage.
func TestReadersOfOperatorsRecords(t *testing.T) {
	const observed = 10 * time.Second
	tests := []struct {
		name     string
		readers  int
		leads    bool
		maxReads int64
		maxAge   time.Duration
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
				f := catalog.NewFollower(counted, catalog.Format{ConfigKey: "config", DecodeConfig: decode}, zerolog.Nop()).
					WithReaders(func() int { return test.readers }, func() bool { return test.leads })
				go f.Run(ctx)
				time.Sleep(2 * time.Second)
				before := counted.Reads()
				for start := time.Now(); time.Since(start) < observed; time.Sleep(10 * time.Millisecond) {
					if _, syncedAt := f.Current(); time.Since(syncedAt) > test.maxAge {
						t.Fatalf("the catalog was last confirmed %v ago, want at most %v", time.Since(syncedAt), test.maxAge)
					}
				}
				if got := counted.Reads() - before; got > test.maxReads {
					t.Errorf("%d reads in %v, want at most %d", got, observed, test.maxReads)
				}
				put(2)
				time.Sleep(10 * time.Millisecond)
				if c, _ := f.Current(); c.Version != 2 {
					t.Error("a new configuration is not applied 10 ms after it was stored")
				}
			})
		})
	}
}
