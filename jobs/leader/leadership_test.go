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

// TestRoundsOfAQuietLeader checks that an idle leader makes no more decisions than its decision and
// heartbeat intervals require.
//
// It guards against three decisions for each append, which happened when the leader's own record
// triggered a decision once when it was written, and again when it was read back.
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
		// One round for each decision interval, and one for each heartbeat.
		most := int(watched/settings.Dispatch.MaxInterval) + int(watched/settings.Timing.HeartbeatInterval) + 1
		if got := roundsIn(scope) - before; got == 0 || got > most {
			t.Errorf("%d rounds in %v without new input, want at least 1 and at most %d", got, watched, most)
		}
	})
}

// roundsIn returns the number of rounds of the leading goroutine counted by a scope.
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

// TestRest checks that decisions take at most a third of the leading goroutine's time, as long as
// the pause does not reach its maximum.
func TestRest(t *testing.T) {
	tests := []struct{ worked, rest time.Duration }{
		{0, 0},
		{500 * time.Microsecond, 0},
		{time.Millisecond, 2 * time.Millisecond},
		{6 * time.Millisecond, 12 * time.Millisecond},
		{time.Second, maxPause},
	}
	for _, test := range tests {
		if got := pauseAfter(test.worked); got != test.rest {
			t.Errorf("pause after a decision of %v is %v, want %v", test.worked, got, test.rest)
		}
	}
}
