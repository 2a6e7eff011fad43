// Package dispatch decides which task runs on which worker: jobs and workers' reports in, runs out. It knows no terms, leases
// or polls, and calls nobody but the adviser; package leader drives it.
//
// A Controller holds what is known of jobs and workers. A plan is one decision, made anew each time: who waits, in which
// order, where each unit fits, and what has to stop for it. It is noted in the jobs' progress, which the caller keeps before
// it tells the workers.
//
// Each mechanism of the decision can be switched off by the Policy, for experiments.
//
// # Usage
//
//	c := dispatch.New(settings, parts)
//	c.Take(view)                     // a job of the store
//	c.Report(now, poll)              // what a worker's agent says
//	c.Plan(ctx, now)
//	records, err := c.Changes(now)   // to be kept
//	changed := c.Wants(now)          // to be told, once they are kept
package dispatch

import (
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobstore"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// Settings of a controller.
type Settings struct {
	Policy Policy
	// SilentAfter is how long a worker may be silent and still get new work.
	SilentAfter time.Duration
	// KeepEnded is how long an ended job is kept.
	KeepEnded time.Duration
	// MaxInterval is the longest time between two decisions: how late what only comes with time is noticed, such as that an urgent job can't wait for
	// room any longer, or that a worker has fallen silent.
	MaxInterval time.Duration
}

// DefaultSettings decides with all mechanisms on.
func DefaultSettings() Settings {
	return Settings{SilentAfter: 1500 * time.Millisecond, KeepEnded: 3 * time.Minute, MaxInterval: 100 * time.Millisecond}
}

// Dependencies are what a controller works with.
type Dependencies struct {
	Catalog *catalog.Follower
	// Permits may be nil where no queue needs advice.
	Permits PermitIssuer
	Logger  zerolog.Logger
	Metrics *Metrics
}

// Controller knows the jobs and the workers, and decides what runs where. One goroutine owns it.
type Controller struct {
	settings Settings
	logger   zerolog.Logger
	catalog  *catalog.Follower
	jobs     map[job.ID]*trackedJob
	// active are the jobs that have not ended, or of which something is placed or to be kept. Ended ones are known for minutes, and there are many
	// more of them.
	active map[job.ID]*trackedJob
	// arrivals are the urgent jobs of the last while.
	arrivals []urgentArrival
	workers  map[string]*worker
	permits  *permitCache
	// unresolved are lives of which it is open how they ended under a task, with their workers.
	unresolved map[incarnation.ID]string
	// unreadable are jobs of which something is stored that can't be read. Nothing of them starts, and what runs goes on.
	unreadable map[job.ID]bool
	// desired is what workers should run, as it was told last.
	desired *desiredStates
	// forecast predicts how long tasks work.
	forecast *forecast
	// stops is how long runs take to stop.
	stops   stopDurations
	metrics *Metrics
	// metricsAt is when the room was noted last.
	metricsAt time.Time
	// next is when the next decision is due by itself.
	next time.Time
	// droppedAt is when jobs that ended long ago were looked for last.
	droppedAt time.Time
}

// New returns a controller that knows of no job and no worker.
func New(s Settings, p Dependencies) *Controller {
	return &Controller{
		settings: s, logger: p.Logger, catalog: p.Catalog, permits: newPermitCache(p.Permits, p.Logger), forecast: newForecast(),
		metrics: p.Metrics, jobs: map[job.ID]*trackedJob{}, active: map[job.ID]*trackedJob{}, workers: map[string]*worker{}, desired: newDesiredStates(), unresolved: map[incarnation.ID]string{}, unreadable: map[job.ID]bool{},
	}
}

// ApplyJob takes a job, or news of one, over from the topic.
func (c *Controller) ApplyJob(v jobstore.StoredJob) {
	t := c.jobs[v.ID]
	if t == nil {
		t = c.open(v)
	}
	if t == nil {
		return
	}
	if v.Cancelled && !t.progress.Phase.Final() {
		t.progress.Cancel()
		c.touch(t)
		c.logger.Info().Str("step", "dispatch.cancel").Str("job", string(v.ID)).Msg("job is cancelled")
	}
}

func (c *Controller) open(v jobstore.StoredJob) *trackedJob {
	if v.Submission == nil {
		return nil
	}
	j, err := job.Decode(v.ID, v.Submission)
	if err != nil {
		c.hold(v.ID, err, "job is unreadable")
		return nil
	}
	t := newTrackedJob(j)
	if v.Progress != nil {
		if t.progress, err = job.DecodeProgress(v.Progress); err != nil {
			c.hold(v.ID, err, "progress is unreadable")
			return nil
		}
	}
	if c.unreadable[v.ID] {
		delete(c.unreadable, v.ID)
		c.desired.all = true
	}
	c.add(t)
	t.progress.EachUnresolved(func(worker string, open incarnation.ID) { c.unresolved[open] = worker })
	return t
}

// add takes a job up.
func (c *Controller) add(t *trackedJob) {
	c.jobs[t.job.ID], c.active[t.job.ID] = t, t
	c.desired.markJob(t)
	if t.job.Priority == 0 {
		c.arrivals = append(c.arrivals, urgentArrival{service: t.job.Service, at: t.job.Accepted, accelerators: peakAccelerators(t.job)})
	}
}

// touch notes that a job's progress has changes: they are to be kept, and may change what workers should run.
func (c *Controller) touch(t *trackedJob) {
	t.dirty = true
	c.active[t.job.ID] = t
	c.desired.markJob(t)
}

// hold holds a job of which something that is stored can't be read. What it says may be that the job is done, so starting it anew could do it
// twice; and stopping what runs would lose it. It goes on with the next leader that can read it.
func (c *Controller) hold(id job.ID, err error, what string) {
	if !c.unreadable[id] {
		c.logger.Error().Str("step", "dispatch.open").Str("job", string(id)).Err(err).Msg(what)
		c.desired.all = true
	}
	c.unreadable[id] = true
}

// has reports whether a mechanism decides.
func (c *Controller) has(m Mechanism) bool { return c.settings.Policy.Has(m) }

// Jobs is how many jobs are known.
func (c *Controller) Jobs() int { return len(c.jobs) }

// Next is when the next decision is due by itself.
func (c *Controller) Next() time.Time { return c.next }

// Permits brings answers of the adviser, which are for TakeAdvice.
func (c *Controller) Permits() <-chan PermitResult { return c.permits.results }

// ApplyPermits takes an answer of the adviser over.
func (c *Controller) ApplyPermits(a PermitResult) { c.permits.apply(a) }

// metricsInterval is the time between two looks at the room for the metrics.
const metricsInterval = time.Second

// UpdateMetrics notes the room in the metrics, now and then.
func (c *Controller) UpdateMetrics(now time.Time) {
	if now.Sub(c.metricsAt) >= metricsInterval {
		c.metricsAt = now
		c.metrics.observe(c)
	}
}

// Busy reports whether there is work to do.
func (c *Controller) Busy() bool {
	for _, t := range c.active {
		if !t.progress.Phase.Final() || t.progress.AnyPlaced() {
			return true
		}
	}
	return false
}

// TakeRecords returns the records of what has changed, and drops jobs that ended long ago.
func (c *Controller) TakeRecords(now time.Time) ([]topic.Record, error) {
	var records []topic.Record
	for id, t := range c.active {
		ended := t.progress.Phase.Final()
		if ended && t.progress.EndedAt.IsZero() {
			t.progress.EndedAt, t.dirty = now, true
		}
		if t.dirty {
			record, err := jobstore.ProgressRecord(id, t.progress)
			if err != nil {
				return nil, err
			}
			records = append(records, record)
			t.dirty = false
		}
		if ended && !t.progress.AnyPlaced() {
			delete(c.active, id)
		}
	}
	if now.Sub(c.droppedAt) >= dropInterval {
		c.droppedAt = now
		records = append(records, c.dropEnded(now)...)
	}
	return records, nil
}

// dropInterval is the time between two looks for jobs that ended long ago: each looks at all jobs that are known.
const dropInterval = time.Second

// dropEnded drops jobs that ended long ago, and returns the records that drop what is stored of them.
func (c *Controller) dropEnded(now time.Time) []topic.Record {
	var records []topic.Record
	for id, t := range c.jobs {
		if c.active[id] == nil && now.Sub(t.progress.EndedAt) > c.settings.KeepEnded {
			records = append(records, jobstore.DeleteRecords(id)...)
			delete(c.jobs, id)
			c.permits.dropJob(id)
		}
	}
	return records
}
