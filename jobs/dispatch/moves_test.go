package dispatch

import (
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// enableCordons replaces the fixture's catalog by one whose cordons a test can change; each rack is
// a zone of the same name.
func (b *fixture) enableCordons() (cordon func(zone string, value []byte)) {
	log := jobtest.NewLog(1)
	follower := catalog.NewFollower(log.Client("c"), catalog.Format{
		ConfigKey: "config",
		DecodeConfig: func([]byte) (*catalog.Catalog, error) {
			return catalog.Catalog{
				Version: 1,
				Teams:   []catalog.Team{{Name: "sure", GuaranteedAccelerators: 16}},
			}.WithIndex(), nil
		},
		CordonedZone: func(key string) (string, bool) { return strings.CutPrefix(key, "cordon/") },
		CheckCordon:  func([]byte) error { return nil },
	}, zerolog.Nop())
	go follower.Run(b.t.Context())
	b.controller.catalog = follower
	put := func(key string, value []byte) {
		changed := follower.Changed()
		records := []topic.Record{{Key: key, Value: value}}
		if _, err := log.Client("o").Append(b.t.Context(), records, topic.Condition{}); err != nil {
			b.t.Fatal(err)
		}
		<-changed
	}
	put("config", []byte("1"))
	for _, w := range b.controller.workers {
		w.state.Zone = w.state.Rack
	}
	return func(zone string, value []byte) { put("cordon/"+zone, value) }
}

// TestCordonedZone: nothing is placed in a cordoned zone, and nothing waits for capacity there.
func TestCordonedZone(t *testing.T) {
	tests := []struct {
		name     string
		priority int
		step     job.Step
	}{
		{"single tasks", 1, job.Step{Tasks: 4}},
		{"gang in one rack", 1, job.Step{Tasks: 3, Gang: true, SameRack: true}},
		{"urgent gang", 0, job.Step{Tasks: 3, Gang: true, SameRack: true}},
		{"its data are there", 1, job.Step{Tasks: 1, DataRack: "r0"}},
		{"gang whose data are there", 1, job.Step{Tasks: 2, Gang: true, DataRack: "r0"}},
		{"bounded for each worker", 1, job.Step{Tasks: 3, MaxPerWorker: 1}},
		{"filling", 2, job.Step{Tasks: 2, BestEffort: true}},
		{"lasting", 1, job.Step{Tasks: 2, LongRunning: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newFixture(t, 2, 4)
			cordon := b.enableCordons()
			cordon("r0", []byte("{}"))
			tracked := b.job(test.priority, "sure", test.step)
			b.plan(10 * time.Millisecond)
			if at := racksOf(b.workersOf(tracked)); at["w1"] != test.step.Tasks {
				t.Errorf("placed in %v, want all tasks in w1 at once", at)
			}
		})
	}
}

// TestCordonedStops: work is only stopped for an urgent job where the job can start, and runs in a
// cordoned zone continue.
func TestCordonedStops(t *testing.T) {
	b := newFixture(t, 2, 2)
	cordon := b.enableCordons()
	long := b.job(2, "other", job.Step{Tasks: 4, Estimate: time.Minute})
	b.plan(10 * time.Millisecond)
	b.observe(long, b.now, 0)
	cordon("r0", []byte("{}"))
	urgent := b.job(0, "sure", job.Step{Tasks: 1, Estimate: time.Second})
	b.plan(2 * time.Second)
	if len(long.stops) != 1 {
		t.Fatalf("%d runs are requested to stop, want 1", len(long.stops))
	}
	for name := range long.stops {
		if w := long.progress.Task(name).Worker; strings.HasPrefix(w, "w0-") {
			t.Errorf("a run on %s is requested to stop, where nothing can start", w)
		}
	}
	b.finish(long, job.EndStopped)
	b.plan(time.Second)
	if at := racksOf(b.workersOf(urgent)); at["w1"] != 1 {
		t.Errorf("the urgent job is placed in %v, want w1", at)
	}
}

// TestCordonWithdraws: runs that have not started when their zone is cordoned are stopped, gangs as
// a whole, and start elsewhere.
func TestCordonWithdraws(t *testing.T) {
	for _, gang := range []bool{false, true} {
		b := newFixture(t, 2, 2)
		cordon := b.enableCordons()
		tracked := b.job(1, "other", job.Step{Tasks: 2, Gang: gang, SameRack: gang})
		b.plan(10 * time.Millisecond)
		placed := b.workersOf(tracked)
		// The first has started, the second has not.
		first := job.TaskName{Job: tracked.job.ID}
		b.controller.workers[placed[0]].runs[assignment.RunID{Task: first, Run: 1}] = observedRun{
			percent:    3,
			startedAt:  b.now,
			advancedAt: b.now,
			baseAt:     b.now,
		}
		zone := b.controller.workers[placed[0]].state.Zone
		cordon(zone, []byte("{}"))
		b.plan(10 * time.Millisecond)
		want := 1
		if gang {
			want = 2
		}
		if len(tracked.stops) != want {
			t.Errorf("gang %v: %d runs are stopped, want %d", gang, len(tracked.stops), want)
		}
		for name, order := range tracked.stops {
			task := tracked.progress.Task(name)
			b.controller.endRun(
				tracked, task.Incarnation,
				assignment.End{RunID: assignment.RunID{Task: name, Run: order.run}, Reason: job.EndRefused},
			)
		}
		b.plan(10 * time.Millisecond)
		for i, name := range b.workersOf(tracked) {
			if begun := i == 0 && !gang; !begun && b.controller.workers[name].state.Zone == zone {
				t.Errorf("gang %v: task %d is placed in the cordoned zone again", gang, i)
			}
		}
	}
}

// TestCordonEverywhere: with all zones cordoned everything waits, and work resumes once one is
// open.
func TestCordonEverywhere(t *testing.T) {
	b := newFixture(t, 2, 2)
	cordon := b.enableCordons()
	cordon("r0", []byte("{}"))
	cordon("r1", []byte("{}"))
	tracked := b.job(0, "sure", job.Step{Tasks: 2, Gang: true, SameRack: true})
	b.plan(10 * time.Millisecond)
	if at := b.workersOf(tracked); len(at) != 0 {
		t.Errorf("placed on %v although all zones are cordoned", at)
	}
	cordon("r1", nil)
	b.plan(10 * time.Millisecond)
	if at := b.workersOf(tracked); len(at) != 2 {
		t.Errorf("placed on %v once a zone is open, want both tasks placed", at)
	}
}

// TestCordonedRackIsNotWaitedFor: a gang that prefers one rack doesn't wait for a cordoned one,
// even if no other is large enough, but is spread over the open ones.
func TestCordonedRackIsNotWaitedFor(t *testing.T) {
	b := newFixture(t, 3, 2)
	b.controller.workers["w2-0"].state.Rack = "r0"
	cordon := b.enableCordons()
	cordon("r0", []byte("{}"))
	gang := b.job(1, "other", job.Step{Tasks: 3, Gang: true, SameRack: true})
	b.plan(10 * time.Millisecond)
	if at := b.workersOf(gang); len(at) != 3 {
		t.Errorf("placed on %v, want all three tasks placed", at)
	}
}
