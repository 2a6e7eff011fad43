package dispatch

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

const service = "roster"

// fixture is a controller with workers and jobs for a test.
type fixture struct {
	t          testing.TB
	controller *Controller
	now        time.Time
	number     int
}

func newFixture(t testing.TB, racks, perRack int) *fixture {
	follower := fixtureCatalog(t)
	b := &fixture{t: t, now: time.Now()}
	b.controller = New(DefaultSettings(), Dependencies{
		Catalog: follower,
		Logger:  zerolog.Nop(),
		Metrics: NewMetrics(tally.NoopScope),
	})
	b.controller.desired.all = true
	for r := range racks {
		for w := range perRack {
			b.addWorker(fmt.Sprintf("w%d-%d", r, w), fmt.Sprintf("r%d", r))
		}
	}
	return b
}

// fixtureCatalog returns a follower of a configuration with two teams, one of which has a
// guarantee.
func fixtureCatalog(t testing.TB) *catalog.Follower {
	log := jobtest.NewLog(1)
	follower := catalog.NewFollower(log.Client("c"), catalog.Format{
		ConfigKey: "config",
		DecodeConfig: func([]byte) (*catalog.Catalog, error) {
			teams := []catalog.Team{{Name: "sure", GuaranteedAccelerators: 16}, {Name: "other"}}
			return catalog.Catalog{Version: 1, Teams: teams}.WithIndex(), nil
		},
	}, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	config := []topic.Record{{Key: "config", Value: []byte("1")}}
	if _, err := log.Client("o").Append(ctx, config, topic.Condition{}); err != nil {
		t.Fatal(err)
	}
	go follower.Run(ctx)
	for c, _ := follower.Current(); c == nil; c, _ = follower.Current() {
		time.Sleep(time.Millisecond)
	}
	return follower
}

// addWorker adds a worker that was just heard from.
func (b *fixture) addWorker(name, rack string) {
	b.controller.workers[name] = &worker{
		name:      name,
		heardAt:   b.now,
		described: true,
		runs:      map[assignment.RunID]observedRun{},
		state: &assignment.WorkerState{
			ID:       incarnation.ID{Instance: name, StartMillis: 1},
			Service:  service,
			Rack:     rack,
			Labels:   []string{"a", rack},
			Capacity: job.Resources{CPU: 64_000, Memory: 128_000, Accelerators: 8},
		},
	}
}

// job adds a job with one step.
func (b *fixture) job(priority int, team string, s job.Step) *trackedJob {
	b.number++
	if s.Resources == (job.Resources{}) {
		s.Resources = job.Resources{CPU: 8000, Memory: 16_000, Accelerators: 8}
	}
	if s.Estimate == 0 {
		s.Estimate = 5 * time.Second
	}
	id := job.ID(fmt.Sprintf("%016x", b.number))
	t := newTrackedJob(&job.Job{
		ID:              id,
		Service:         service,
		Priority:        priority,
		Team:            team,
		MaxAttempts:     3,
		ObjectiveFactor: 3,
		ObjectiveSlack:  time.Second,
		Accepted:        b.now.Add(time.Duration(b.number) * time.Millisecond),
		Steps:           []job.Step{s},
	})
	b.controller.add(t)
	return t
}

// plan advances the time, makes one decision and sends it to the agents. All workers were heard
// from just before.
func (b *fixture) plan(after time.Duration) {
	b.planUnsent(after)
	for _, t := range b.controller.jobs {
		clear(t.unsent)
	}
}

// planUnsent advances the time and makes one decision without sending it to any agent.
func (b *fixture) planUnsent(after time.Duration) {
	b.now = b.now.Add(after)
	for _, w := range b.controller.workers {
		w.heardAt = b.now
	}
	b.controller.Plan(context.Background(), b.now)
}

// captureLog redirects the log to a buffer, and returns a function that counts the lines of an
// event.
func (b *fixture) captureLog() func(event string) int {
	var out strings.Builder
	b.controller.logger = zerolog.New(&out)
	return func(event string) int { return strings.Count(out.String(), event) }
}

// observe sets the reported progress of the placed runs of a job.
func (b *fixture) observe(t *trackedJob, began time.Time, percent int) {
	t.progress.EachPlaced(t.job.ID, func(name job.TaskName, task *job.Task) {
		id := assignment.RunID{Task: name, Run: task.Run}
		b.controller.workers[task.Worker].runs[id] = observedRun{
			percent:    percent,
			startedAt:  began,
			advancedAt: b.now,
			baseAt:     began,
		}
	})
}

// workersOf returns the workers of a job's placed tasks, by index.
func (b *fixture) workersOf(t *trackedJob) []string {
	var names []string
	for i := range t.job.Steps[0].Tasks {
		task := t.progress.Task(job.TaskName{Job: t.job.ID, Index: i})
		if task != nil && task.Placed() {
			names = append(names, task.Worker)
		}
	}
	return names
}

// finishAll ends all placed runs.
func (b *fixture) finishAll(how job.EndReason) {
	for _, t := range b.controller.jobs {
		b.finish(t, how)
	}
}

// finish ends all placed runs of a job.
func (b *fixture) finish(t *trackedJob, how job.EndReason) {
	t.progress.EachPlaced(t.job.ID, func(name job.TaskName, task *job.Task) {
		b.controller.endRun(
			t, task.Incarnation,
			assignment.End{RunID: assignment.RunID{Task: name, Run: task.Run}, Reason: how},
		)
	})
}

func racksOf(names []string) map[string]int {
	racks := map[string]int{}
	for _, n := range names {
		rack, _, _ := strings.Cut(n, "-")
		racks[rack]++
	}
	return racks
}
