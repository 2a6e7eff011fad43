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

// fixture is a controller with workers and jobs of a test.
type fixture struct {
	t       testing.TB
	control *Controller
	now     time.Time
	number  int
}

func newFixture(t testing.TB, racks, perRack int) *fixture {
	follower := fixtureCatalog(t)
	b := &fixture{t: t, now: time.Now()}
	b.control = New(DefaultSettings(), Dependencies{
		Catalog: follower,
		Logger:  zerolog.Nop(),
		Metrics: NewMetrics(tally.NoopScope),
	})
	b.control.desired.all = true
	for r := range racks {
		for w := range perRack {
			b.addWorker(fmt.Sprintf("w%d-%d", r, w), fmt.Sprintf("r%d", r))
		}
	}
	return b
}

// fixtureCatalog follows a configuration with two teams, of which one has a guarantee.
func fixtureCatalog(t testing.TB) *catalog.Follower {
	log := jobtest.NewLog(1)
	follower := catalog.NewFollower(log.Client("c"), catalog.Format{
		ConfigKey: "config",
		Config: func([]byte) (*catalog.Catalog, error) {
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

// addWorker adds a worker that was heard just now.
func (b *fixture) addWorker(name, rack string) {
	b.control.workers[name] = &worker{
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

// job adds a job of one step.
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
	b.control.add(t)
	return t
}

// plan makes one decision after a time, and tells the agents; all workers were heard just before.
func (b *fixture) plan(after time.Duration) {
	b.planUnsent(after)
	for _, t := range b.control.jobs {
		clear(t.unsent)
	}
}

// planUnsent makes one decision after a time, and tells no agent.
func (b *fixture) planUnsent(after time.Duration) {
	b.now = b.now.Add(after)
	for _, w := range b.control.workers {
		w.heardAt = b.now
	}
	b.control.Plan(context.Background(), b.now)
}

// logged sends the log to a buffer, and returns a count of the lines of an event.
func (b *fixture) logged() func(event string) int {
	var out strings.Builder
	b.control.logger = zerolog.New(&out)
	return func(event string) int { return strings.Count(out.String(), event) }
}

// observe sets the progress of the placed runs of a job, as its workers report it.
func (b *fixture) observe(t *trackedJob, began time.Time, percent int) {
	t.progress.Placed(t.job.ID, func(name job.TaskName, task *job.Task) {
		id := assignment.RunID{Task: name, Run: task.Run}
		b.control.workers[task.Worker].runs[id] = observedRun{
			percent:    percent,
			startedAt:  began,
			advancedAt: b.now,
			baseAt:     began,
		}
	})
}

// at lists the workers of a job's tasks, by index.
func (b *fixture) at(t *trackedJob) []string {
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
	for _, t := range b.control.jobs {
		b.finish(t, how)
	}
}

// finish ends all placed runs of a job.
func (b *fixture) finish(t *trackedJob, how job.EndReason) {
	t.progress.Placed(t.job.ID, func(name job.TaskName, task *job.Task) {
		b.control.endRun(t, task.Incarnation, assignment.End{RunID: assignment.RunID{Task: name, Run: task.Run}, Reason: how})
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
