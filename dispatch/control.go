package dispatch

import (
	"context"
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
	// cleared is when work was last told to stop for a unit, by its first task.
	cleared map[job.TaskName]time.Time
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
	trust  trust
}

func newTracked(j *job.Job) *tracked {
	return &tracked{
		job: j, progress: job.NewProgress(), stopping: map[job.TaskName]int{}, took: map[int]time.Duration{},
		failedOn: map[string]time.Time{}, cleared: map[job.TaskName]time.Time{}, waits: map[job.TaskName]string{},
	}
}

// length predicts how long a task of a step works.
func (c *control) length(t *tracked, step int) time.Duration {
	if took, ok := t.took[step]; ok {
		return took
	}
	return c.forecast.of(t.job.Queue, t.job.Steps[step].Estimate)
}

// work is what all tasks of a job do, in core-seconds.
func (c *control) work(t *tracked) float64 {
	sum := 0.0
	for i, s := range t.job.Steps {
		sum += float64(s.Tasks) * c.length(t, i).Seconds() * weight(s.Need)
	}
	return sum
}

// noteLength takes note of how long a run took that has ended done, unless it went on from a checkpoint.
func (c *control) noteLength(e assignment.End) {
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

// control is the state of a leader. One goroutine owns it.
type control struct {
	timing  Timing
	logger  zerolog.Logger
	catalog *catalog.Follower
	replica *jobstore.Replica
	// took is when this entry began to lead.
	took    time.Time
	jobs    map[job.ID]*tracked
	workers map[string]*worker
	advice  *advice
	// forecast predicts how long tasks work.
	forecast *forecast
	metrics  *metrics
	// observed is when the room was noted last.
	observed time.Time
	// next is when the next pass is due by itself.
	next time.Time
}

func newControl(timing Timing, parts Parts, m *metrics) *control {
	return &control{
		timing: timing, logger: parts.Logger, catalog: parts.Catalog, replica: parts.Replica, took: time.Now(),
		advice: newAdvice(parts.Adviser, parts.Logger), forecast: newForecast(), metrics: m,
		jobs: map[job.ID]*tracked{}, workers: map[string]*worker{},
	}
}

// load takes all that is stored.
func (c *control) load(views []jobstore.View) error {
	for _, v := range views {
		c.take(v)
	}
	return nil
}

// take takes a job, or news of one, over from the topic.
func (c *control) take(v jobstore.View) {
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

func (c *control) open(v jobstore.View) *tracked {
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

// pass is one round of the control loop: news in, decisions, one append, and then the word to the agents.
func (c *control) pass(ctx context.Context, t *term, d *desk) error {
	now := time.Now()
	for name, poll := range d.take() {
		c.report(now, c.workerOf(name), poll)
	}
	for _, v := range c.replica.Take() {
		c.take(v)
	}
	c.expire(now, d)
	c.plan(ctx, now)
	records, err := c.changes(now)
	if err != nil {
		return err
	}
	if len(records) > 0 {
		if err := t.write(ctx, records); err != nil {
			return err
		}
	}
	d.publish(c.publications(now))
	c.metrics.passTime.RecordDuration(time.Since(now))
	if now.Sub(c.observed) >= observeEvery {
		c.observed = now
		c.metrics.observe(c)
	}
	return nil
}

// observeEvery is the time between two looks at the room for the metrics.
const observeEvery = time.Second

func (c *control) workerOf(name string) *worker {
	w := c.workers[name]
	if w == nil {
		w = &worker{name: name, runs: map[assignment.RunID]observed{}}
		c.workers[name] = w
	}
	return w
}

// report takes over what an agent says. Ends come before lives that are over: what has ended done there is done.
func (c *control) report(now time.Time, w *worker, poll assignment.Poll) {
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
func (c *control) reportLife(now time.Time, w *worker, poll assignment.Poll) {
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
			w.trust.refused(now)
		}
	}
}

// newLife ends what the worker's earlier lives ran.
func (c *control) newLife(w *worker, life *assignment.Life) {
	for _, t := range c.jobs {
		t.progress.Placed(t.job.ID, func(name job.TaskName, task *job.Task) {
			if task.Worker == w.name && task.Life != life.ID {
				c.endTask(t, name, task.Run, task.Life, job.EndLost, "")
			}
		})
	}
	c.logger.Info().Str("step", "dispatch.report").Str("worker", w.name).Str("life", life.ID).Msg("worker reports")
	w.life, w.ends, w.runs, w.trust, w.leaves = life, 0, map[assignment.RunID]observed{}, trust{}, time.Time{}
}

func (c *control) reportRuns(now time.Time, w *worker, poll assignment.Poll) {
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
func (c *control) end(w *worker, e assignment.End) bool {
	t := c.jobs[e.Task.Job]
	if t == nil || !c.endTask(t, e.Task, e.Run, w.life.ID, e.How, e.Saved) {
		return false
	}
	now := time.Now()
	w.trust.ended(now, e.Task.Job, e.How, e.Took())
	if e.How == job.EndFailed {
		t.failedOn[w.name] = now
	}
	return true
}

func (c *control) endTask(t *tracked, name job.TaskName, run int, life string, how job.Ending, saved string) bool {
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
func (c *control) lose(name, life, why string) {
	for _, t := range c.jobs {
		t.progress.Placed(t.job.ID, func(task job.TaskName, placed *job.Task) {
			if placed.Worker == name && placed.Life == life {
				c.metrics.lost(why)
				c.logger.Info().Str("step", "dispatch.lose").Stringer("task", task).Int("run", placed.Run).
					Str("worker", name).Str("why", why).Msg("run is lost")
				c.endTask(t, task, placed.Run, life, job.EndLost, "")
			}
		})
	}
}

// expire ends what is placed on workers whose lease is surely over: nobody has extended it for long enough. A former
// leader may have given a lease with a proof from just before this one began to lead.
func (c *control) expire(now time.Time, d *desk) {
	earliest := c.took.Add(c.timing.Proof)
	names := map[string]bool{}
	lives := map[string]map[string]bool{}
	for _, t := range c.jobs {
		t.progress.Placed(t.job.ID, func(_ job.TaskName, placed *job.Task) {
			names[placed.Worker] = true
			if lives[placed.Worker] == nil {
				lives[placed.Worker] = map[string]bool{}
			}
			lives[placed.Worker][placed.Life] = true
		})
	}
	for name := range d.sealOver(names, now, earliest) {
		for life := range lives[name] {
			c.lose(name, life, whyLeaseOver)
		}
	}
}

// busy reports whether there is work to do.
func (c *control) busy() bool {
	for _, t := range c.jobs {
		if !t.progress.Phase.Final() || t.progress.AnyPlaced() {
			return true
		}
	}
	return false
}

// changes returns the records of what has changed, and drops jobs that ended long ago.
func (c *control) changes(now time.Time) ([]jobstore.Record, error) {
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
		if t.progress.Phase.Final() && now.Sub(t.progress.EndedAt) > c.timing.Forget && !t.progress.AnyPlaced() {
			records = append(records, jobstore.ForgetRecords(id)...)
			delete(c.jobs, id)
			c.advice.forget(id)
		}
	}
	return records, nil
}

// publications is what each worker should run.
func (c *control) publications(now time.Time) map[string]publication {
	all := make(map[string]publication, len(c.workers))
	for name, w := range c.workers {
		if w.life != nil {
			all[name] = publication{life: w.life.ID, want: map[job.TaskName]wanted{}, seen: w.ends}
		}
	}
	for _, t := range c.jobs {
		t.progress.Placed(t.job.ID, func(name job.TaskName, task *job.Task) {
			p, ok := all[task.Worker]
			if !ok || p.life != task.Life {
				return
			}
			start := assignment.Start{RunID: assignment.RunID{Task: name, Run: task.Run}, Spec: t.job.Spec, Saved: task.Saved}
			if t.job.Advised {
				start.Ticket, _ = c.advice.ticket(stepOf(name), task.Life, now)
			}
			p.want[name] = wanted{
				start:    start,
				stopping: t.stopping[name] == task.Run || t.progress.Phase == job.Cancelled || t.progress.Phase == job.Failed,
				role:     roleOf(start.RunID, t.job.Steps[name.Step]),
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

// sleep is how long the control goroutine may wait for news.
func (c *control) sleep(written time.Time) time.Duration {
	wait := min(time.Until(written.Add(c.timing.Renew)), time.Until(c.next))
	return max(wait, time.Millisecond)
}
