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
//	wants := c.Wants(now)            // to be told, once they are kept
package dispatch

import (
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/assignment"
	"yarrowgrade.example/yarrowgrade/catalog"
	"yarrowgrade.example/yarrowgrade/job"
	"yarrowgrade.example/yarrowgrade/jobstore"
)

// tracked is a job as the control goroutine holds it.
type tracked struct {
	job      *job.Job
	progress *job.Progress
	// dirty says that the progress has changes which are not kept yet.
	dirty bool
	// stopping holds the runs that were told to stop.
	stopping map[job.TaskName]int
	// took is how long a task of a step was seen to take.
	took map[int]time.Duration
	// failedOn is when a run of the job last failed on a worker.
	failedOn map[string]time.Time
	// preemptedFor is when work was last told to stop for a unit, by its first task.
	preemptedFor map[job.TaskName]time.Time
	// waits is why its units were last logged to wait, by their first tasks.
	waits map[job.TaskName]string
}

// worker is a worker as the control goroutine knows it.
type worker struct {
	name string
	// life is nil until the agent has reported one.
	life *assignment.Life
	// heard is when the newest poll was taken.
	heard time.Time
	// leaves is the earliest time at which a leaving worker goes.
	leaves time.Time
	// runs are those that the worker has reported, ends the number up to which its ends are taken note of.
	runs map[assignment.RunID]observed
	ends int64
	// silent says that its agent gets no answer from it.
	silent bool
	health health
}

func newTracked(j *job.Job) *tracked {
	return &tracked{
		job: j, progress: job.NewProgress(), stopping: map[job.TaskName]int{}, took: map[int]time.Duration{},
		failedOn: map[string]time.Time{}, preemptedFor: map[job.TaskName]time.Time{}, waits: map[job.TaskName]string{},
	}
}

// length predicts how long a task of a step works.
func (c *Controller) length(t *tracked, step int) time.Duration {
	if !c.has(Forecasts) {
		return t.job.Steps[step].Estimate
	}
	if took, ok := t.took[step]; ok {
		return took
	}
	return c.forecast.of(t.job.Queue, t.job.Steps[step].Estimate)
}

// work is what all tasks of a job do, in core-seconds.
func (c *Controller) work(t *tracked) float64 {
	sum := 0.0
	for i, s := range t.job.Steps {
		sum += float64(s.Tasks) * c.length(t, i).Seconds() * weight(s.Need)
	}
	return sum
}

// noteLength takes note of how long a run took that has ended done, unless it went on from a checkpoint.
func (c *Controller) noteLength(e assignment.End) {
	t := c.jobs[e.Task.Job]
	if t == nil || e.How != job.EndDone || e.Took() <= 0 {
		return
	}
	task := t.progress.Task(e.Task)
	if _, known := t.took[e.Task.Step]; known || task == nil || task.Run != e.Run || task.Saved != "" {
		return
	}
	t.took[e.Task.Step] = e.Took()
	c.forecast.note(t.job.Queue, t.job.Steps[e.Task.Step].Estimate, e.Took())
}

// observed is what is known of a run that a worker has reported.
type observed struct {
	percent int
	// since is when the run began, as far as is known; advanced when the percentage last rose.
	since    time.Time
	advanced time.Time
	// base is the percentage that was first reported, at the time baseAt: a run may go on from a checkpoint.
	base   int
	baseAt time.Time
}

// firstSeen is the first report of a run.
func firstSeen(now time.Time, r assignment.Run) observed {
	o := observed{percent: -1, since: now, advanced: now, base: max(r.Percent, 0), baseAt: now}
	if r.AgeMillis > 0 {
		o.since = now.Add(-r.Age())
	}
	return o
}

// left is how long the run still works if it goes on as it has since the first report; false as long as that says nothing.
func (o observed) left(now time.Time) (time.Duration, bool) {
	done := o.percent - o.base
	if done <= 0 {
		return 0, false
	}
	left := o.advanced.Sub(o.baseAt) * time.Duration(100-o.percent) / time.Duration(done)
	return max(left-now.Sub(o.advanced), 0), true
}

// Settings of a controller.
type Settings struct {
	Policy Policy
	// Silent is how long a worker may be silent and still get new work.
	Silent time.Duration
	// Forget is how long an ended job is kept.
	Forget time.Duration
	// Every is the longest time between two decisions.
	Every time.Duration
}

// DefaultSettings decides with all mechanisms on.
func DefaultSettings() Settings {
	return Settings{Silent: 1500 * time.Millisecond, Forget: 3 * time.Minute, Every: 400 * time.Millisecond}
}

// Parts are what a controller works with.
type Parts struct {
	Catalog *catalog.Follower
	// Adviser may be nil where no queue needs advice.
	Adviser Adviser
	Logger  zerolog.Logger
	Metrics *Metrics
}

// Controller knows the jobs and the workers, and decides what runs where. One goroutine owns it.
type Controller struct {
	settings Settings
	logger   zerolog.Logger
	catalog  *catalog.Follower
	jobs     map[job.ID]*tracked
	workers  map[string]*worker
	advice   *advice
	// forecast predicts how long tasks work.
	forecast *forecast
	metrics  *Metrics
	// observed is when the room was noted last.
	observed time.Time
	// next is when the next decision is due by itself.
	next time.Time
}

// New returns a controller that knows of no job and no worker.
func New(s Settings, p Parts) *Controller {
	return &Controller{
		settings: s, logger: p.Logger, catalog: p.Catalog, advice: newAdvice(p.Adviser, p.Logger), forecast: newForecast(),
		metrics: p.Metrics, jobs: map[job.ID]*tracked{}, workers: map[string]*worker{},
	}
}

// Take takes a job, or news of one, over from the topic.
func (c *Controller) Take(v jobstore.View) {
	t := c.jobs[v.ID]
	if t == nil {
		t = c.open(v)
	}
	if t == nil {
		return
	}
	if v.Cancelled && !t.progress.Phase.Final() {
		t.progress.Cancel()
		t.dirty = true
		c.logger.Info().Str("step", "dispatch.cancel").Str("job", string(v.ID)).Msg("job is cancelled")
	}
}

func (c *Controller) open(v jobstore.View) *tracked {
	if v.Submission == nil {
		return nil
	}
	j, err := job.Decode(v.ID, v.Submission)
	if err != nil {
		c.logger.Error().Str("step", "dispatch.open").Str("job", string(v.ID)).Err(err).Msg("job is unreadable")
		return nil
	}
	t := newTracked(j)
	if v.Progress != nil {
		if t.progress, err = job.DecodeProgress(v.Progress); err != nil {
			c.logger.Error().Str("step", "dispatch.open").Str("job", string(v.ID)).Err(err).Msg("progress is unreadable")
			return nil
		}
	}
	c.jobs[v.ID] = t
	return t
}

// has reports whether a mechanism decides.
func (c *Controller) has(m Mechanism) bool { return c.settings.Policy.Has(m) }

// Jobs is how many jobs are known.
func (c *Controller) Jobs() int { return len(c.jobs) }

// Next is when the next decision is due by itself.
func (c *Controller) Next() time.Time { return c.next }

// Advice brings answers of the adviser, which are for TakeAdvice.
func (c *Controller) Advice() <-chan Advised { return c.advice.answers }

// TakeAdvice takes an answer of the adviser over.
func (c *Controller) TakeAdvice(a Advised) { c.advice.take(a) }

// observeEvery is the time between two looks at the room for the metrics.
const observeEvery = time.Second

// Observe notes the room in the metrics, now and then.
func (c *Controller) Observe(now time.Time) {
	if now.Sub(c.observed) >= observeEvery {
		c.observed = now
		c.metrics.observe(c)
	}
}

func (c *Controller) workerOf(name string) *worker {
	w := c.workers[name]
	if w == nil {
		w = &worker{name: name, runs: map[assignment.RunID]observed{}}
		c.workers[name] = w
	}
	return w
}

// Report takes over what the agent of a worker says. Ends come before lives that are over: what has ended done there is done.
func (c *Controller) Report(now time.Time, poll assignment.Poll) {
	w := c.workerOf(poll.Worker)
	w.heard, w.silent = now, poll.Silent
	if poll.Life != nil && poll.Listed {
		c.reportLife(now, w, poll)
	}
	for _, life := range poll.Over {
		c.lose(w.name, life, whyLifeOver)
		if w.life != nil && w.life.ID == life {
			// Nothing is placed there until the next life reports.
			w.life = nil
		}
	}
}

// reportLife takes over what a worker that is there says by its agent.
func (c *Controller) reportLife(now time.Time, w *worker, poll assignment.Poll) {
	if w.life == nil || w.life.ID != poll.Life.ID {
		c.newLife(w, poll.Life)
	}
	if poll.Life.Leaving && !w.life.Leaving {
		w.leaves = now.Add(time.Duration(poll.Life.LeavesIn) * time.Millisecond)
		c.logger.Info().Str("step", "dispatch.report").Str("worker", w.name).Int64("leaves_in_ms", poll.Life.LeavesIn).Msg("worker leaves")
	}
	w.life = poll.Life
	c.reportRuns(now, w, poll)
	for _, e := range poll.Ends {
		if e.Number > w.ends {
			c.noteLength(e)
			c.end(w, e)
			w.ends = e.Number
		}
	}
	for _, r := range poll.Refused {
		if c.end(w, assignment.End{RunID: r.RunID, How: job.EndRefused}) {
			c.logger.Info().Str("step", "dispatch.report").Str("worker", w.name).Stringer("task", r.Task).Int("run", r.Run).
				Str("reason", r.Reason).Msg("start refused")
			if c.has(Quarantine) {
				w.health.refused(now)
			}
		}
	}
}

// newLife ends what the worker's earlier lives ran.
func (c *Controller) newLife(w *worker, life *assignment.Life) {
	for _, t := range c.jobs {
		t.progress.Placed(t.job.ID, func(name job.TaskName, task *job.Task) {
			if task.Worker == w.name && task.Life != life.ID {
				c.endTask(t, name, task.Run, task.Life, job.EndLost, "")
			}
		})
	}
	c.logger.Info().Str("step", "dispatch.report").Str("worker", w.name).Str("life", life.ID).Msg("worker reports")
	w.life, w.ends, w.runs, w.health, w.leaves = life, 0, map[assignment.RunID]observed{}, health{}, time.Time{}
}

func (c *Controller) reportRuns(now time.Time, w *worker, poll assignment.Poll) {
	runs := make(map[assignment.RunID]observed, len(poll.Runs))
	for _, r := range poll.Runs {
		o, known := w.runs[r.RunID]
		if !known {
			o = firstSeen(now, r)
		}
		if r.Percent > o.percent {
			o.percent, o.advanced = r.Percent, now
		}
		runs[r.RunID] = o
	}
	w.runs = runs
}

// end takes note of the end of a run on the worker's present life. It returns false if that run is not there.
func (c *Controller) end(w *worker, e assignment.End) bool {
	t := c.jobs[e.Task.Job]
	if t == nil || !c.endTask(t, e.Task, e.Run, w.life.ID, e.How, e.Saved) {
		return false
	}
	now := time.Now()
	if c.has(Quarantine) {
		w.health.ended(now, e.Task.Job, e.How, e.Took())
	}
	if e.How == job.EndFailed {
		t.failedOn[w.name] = now
	}
	return true
}

func (c *Controller) endTask(t *tracked, name job.TaskName, run int, life string, how job.Ending, saved string) bool {
	before := t.progress.Phase
	if !t.progress.End(t.job, name, run, life, how, saved) {
		return false
	}
	t.dirty = true
	c.metrics.ends.Inc(how)
	delete(t.stopping, name)
	c.logger.Info().Str("step", "dispatch.end").Stringer("task", name).Int("run", run).Str("how", string(how)).Msg("run ended")
	if t.progress.Phase != before && t.progress.Phase.Final() {
		c.logger.Info().Str("step", "dispatch.end").Str("job", string(name.Job)).Stringer("phase", t.progress.Phase).Msg("job ended")
	}
	return true
}

// lose ends all that is placed on a life of a worker.
func (c *Controller) lose(name, life, why string) {
	for _, t := range c.jobs {
		t.progress.Placed(t.job.ID, func(task job.TaskName, placed *job.Task) {
			if placed.Worker == name && placed.Life == life {
				c.loseRun(t, task, placed, why)
			}
		})
	}
}

func (c *Controller) loseRun(t *tracked, name job.TaskName, placed *job.Task, why string) {
	c.metrics.lost(why)
	c.logger.Info().Str("step", "dispatch.lose").Stringer("task", name).Int("run", placed.Run).
		Str("worker", placed.Worker).Str("why", why).Msg("run is lost")
	c.endTask(t, name, placed.Run, placed.Life, job.EndLost, "")
}

// Placed are the workers on which something is placed.
func (c *Controller) Placed() map[string]bool {
	names := map[string]bool{}
	for _, t := range c.jobs {
		t.progress.Placed(t.job.ID, func(_ job.TaskName, placed *job.Task) { names[placed.Worker] = true })
	}
	return names
}

// LeaseOver ends all that is placed on workers whose lease is surely over.
func (c *Controller) LeaseOver(workers map[string]bool) {
	if len(workers) == 0 {
		return
	}
	for _, t := range c.jobs {
		t.progress.Placed(t.job.ID, func(task job.TaskName, placed *job.Task) {
			if workers[placed.Worker] {
				c.loseRun(t, task, placed, whyLeaseOver)
			}
		})
	}
}

// Busy reports whether there is work to do.
func (c *Controller) Busy() bool {
	for _, t := range c.jobs {
		if !t.progress.Phase.Final() || t.progress.AnyPlaced() {
			return true
		}
	}
	return false
}

// Changes returns the records of what has changed, and drops jobs that ended long ago.
func (c *Controller) Changes(now time.Time) ([]jobstore.Record, error) {
	var records []jobstore.Record
	for id, t := range c.jobs {
		if t.progress.Phase.Final() && t.progress.EndedAt.IsZero() {
			t.progress.EndedAt, t.dirty = now, true
		}
		if t.dirty {
			record, err := jobstore.ProgressRecord(id, t.progress)
			if err != nil {
				return nil, err
			}
			records = append(records, record)
			t.dirty = false
			continue
		}
		if t.progress.Phase.Final() && now.Sub(t.progress.EndedAt) > c.settings.Forget && !t.progress.AnyPlaced() {
			records = append(records, jobstore.ForgetRecords(id)...)
			delete(c.jobs, id)
			c.advice.forget(id)
		}
	}
	return records, nil
}

// Want is what a life of a worker should run.
type Want struct {
	Life string
	Runs map[job.TaskName]WantedRun
	// Seen is the number up to which the worker's ends are taken note of.
	Seen int64
}

// WantedRun is a run that should be on a worker, or stop there. Its role is nil if it shares nothing in a way of its own.
type WantedRun struct {
	Start    assignment.Start
	Stopping bool
	Role     *assignment.Role
}

// Wants is what each worker should run.
func (c *Controller) Wants(now time.Time) map[string]Want {
	all := make(map[string]Want, len(c.workers))
	for name, w := range c.workers {
		if w.life != nil {
			all[name] = Want{Life: w.life.ID, Runs: map[job.TaskName]WantedRun{}, Seen: w.ends}
		}
	}
	for _, t := range c.jobs {
		t.progress.Placed(t.job.ID, func(name job.TaskName, task *job.Task) {
			want, ok := all[task.Worker]
			if !ok || want.Life != task.Life {
				return
			}
			start := assignment.Start{RunID: assignment.RunID{Task: name, Run: task.Run}, Spec: t.job.Spec, Saved: task.Saved}
			if t.job.Advised {
				start.Ticket, _ = c.advice.ticket(stepOf(name), task.Life, now)
			}
			want.Runs[name] = WantedRun{
				Start:    start,
				Stopping: t.stopping[name] == task.Run || t.progress.Phase == job.Cancelled || t.progress.Phase == job.Failed,
				Role:     roleOf(start.RunID, t.job.Steps[name.Step]),
			}
		})
	}
	return all
}

// roleOf is how a run of the step shares its worker's processors, or nil if in no way of its own.
func roleOf(id assignment.RunID, s job.Step) *assignment.Role {
	if !s.Fills && s.Target == 0 {
		return nil
	}
	return &assignment.Role{RunID: id, TargetMillis: s.Target.Milliseconds(), Fills: s.Fills}
}
