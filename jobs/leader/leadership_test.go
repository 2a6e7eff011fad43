package leader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/directory"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch"
	"yarrowgrade.example/yarrowgrade/jobs/jobstore"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
)

// TestRoundsOfAQuietLeader: a leader decided three times for each of its appends: its own record
// woke it when it was written, and again when it was read.
func TestRoundsOfAQuietLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); time.Sleep(10 * time.Second) }()
		scope := tally.NewTestScope("", nil)
		log, config, announced := jobtest.NewLog(1), jobtest.NewLog(2), jobtest.NewLog(3).Client("e")
		directory := directory.NewDirectory(announced, zerolog.Nop())
		replica := jobstore.NewReplica(log.Client("e"), func() int { return 1 }, zerolog.Nop())
		follower := catalog.NewFollower(config.Client("e"), catalog.Format{ConfigKey: "config"}, zerolog.Nop())
		settings := Settings{
			Entry:       "e",
			Incarnation: "e/1",
			Address:     "e",
			Timing:      DefaultTiming(6 * time.Second),
			Dispatch:    dispatch.DefaultSettings(),
		}
		c := New(settings, Dependencies{
			Log:          log.Client("e"),
			Replica:      replica,
			Catalog:      follower,
			DirectoryLog: announced,
			Directory:    directory,
			Latency:      replica.Latency(),
			Logger:       zerolog.Nop(),
			Metrics:      scope,
		})
		go replica.Run(ctx)
		go follower.Run(ctx)
		go directory.Run(ctx)
		go c.Run(ctx)
		time.Sleep(5 * time.Second)
		before := roundsIn(scope)
		const watched = 10 * time.Second
		time.Sleep(watched)
		// One when a decision is due by itself, and one when a heartbeat is.
		most := int(watched/settings.Dispatch.MaxInterval) + int(watched/settings.Timing.HeartbeatInterval) + 1
		if got := roundsIn(scope) - before; got == 0 || got > most {
			t.Errorf("%d rounds in %v without any news, want at most %d", got, watched, most)
		}
	})
}

// roundsIn is how many rounds of the leading goroutine a scope has counted.
func roundsIn(scope tally.TestScope) int {
	rounds := 0
	for _, h := range scope.Snapshot().Histograms() {
		if h.Name() == "pass_time" {
			for _, n := range h.Durations() {
				rounds += int(n)
			}
		}
	}
	return rounds
}

// TestRest: decisions take at most a third of the leading goroutine's time, up to the longest
// rest.
func TestRest(t *testing.T) {
	tests := []struct{ worked, rest time.Duration }{
		{0, 0},
		{500 * time.Microsecond, 0},
		{time.Millisecond, 2 * time.Millisecond},
		{6 * time.Millisecond, 12 * time.Millisecond},
		{time.Second, maxRest},
	}
	for _, test := range tests {
		if got := restAfter(test.worked); got != test.rest {
			t.Errorf("after %v it rests for %v, want %v", test.worked, got, test.rest)
		}
	}
}
