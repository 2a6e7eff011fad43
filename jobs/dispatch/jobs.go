package dispatch

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobstore"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// ApplyJob applies a job from the store, or its cancellation.
func (c *Controller) ApplyJob(stored jobstore.StoredJob) {
	t := c.jobs[stored.ID]
	if t == nil {
		t = c.open(stored)
	}
	if t == nil {
		return
	}
	if stored.Cancelled && !t.progress.Phase.Final() {
		t.progress.Cancel()
		c.touch(t)
		c.logger.Info().Str("step", "dispatch.cancel").Str("job", string(stored.ID)).Msg("job is cancelled")
	}
}

// open decodes a job and tracks it. It returns nil if the job can't be decoded.
func (c *Controller) open(stored jobstore.StoredJob) *trackedJob {
	if stored.Submission == nil {
		return nil
	}
	j, err := job.Decode(stored.ID, stored.Submission)
	if err != nil {
		c.keepUnreadable(stored.ID, err, "job is unreadable")
		return nil
	}
	t := newTrackedJob(j)
	if stored.Progress != nil {
		if t.progress, err = job.DecodeProgress(stored.Progress); err != nil {
			c.keepUnreadable(stored.ID, err, "progress is unreadable")
			return nil
		}
		t.progress.LimitHolds(time.Now().Add(openStartLimit))
		t.progress.LimitRackWaits(time.Now())
	}
	if c.unreadable[stored.ID] {
		delete(c.unreadable, stored.ID)
		c.desired.all = true
	}
	c.add(t)
	c.inheritHolds(t)
	t.progress.EachUnresolved(func(worker string, id incarnation.ID) { c.unresolved[id] = worker })
	return t
}

// add tracks a job.
func (c *Controller) add(t *trackedJob) {
	c.jobs[t.job.ID], c.active[t.job.ID] = t, t
	c.desired.markJob(t)
	if t.job.Priority == 0 {
		c.arrivals = append(c.arrivals, urgentArrival{
			service:      t.job.Service,
			at:           t.job.Accepted,
			accelerators: t.job.PeakAccelerators(),
		})
	}
}

// keepUnreadable leaves a job that can't be decoded untouched. Its progress may say that it is
// done, so starting it could run it twice, and stopping its runs would lose their work. It
// continues under the next leader that can decode it.
func (c *Controller) keepUnreadable(id job.ID, err error, what string) {
	if !c.unreadable[id] {
		c.logger.Error().Str("step", "dispatch.open").Str("job", string(id)).Err(err).Msg(what)
		c.desired.all = true
	}
	c.unreadable[id] = true
}

// touch marks a job's progress as changed: it must be stored, and may affect what workers should
// run.
func (c *Controller) touch(t *trackedJob) {
	t.dirty = true
	c.active[t.job.ID] = t
	c.desired.markJob(t)
}

// TakeRecords returns the records of all changes since the last call, and drops jobs whose
// retention has expired. It returns an error if a job's progress can't be encoded. Some changes are
// then taken but not returned, so the caller must stop leading.
func (c *Controller) TakeRecords(now time.Time) ([]topic.Record, error) {
	var records []topic.Record
	for id, t := range c.active {
		if t.progress.MarkEnded(now) {
			t.dirty = true
		}
		if t.dirty {
			record, err := jobstore.ProgressRecord(id, t.progress)
			if err != nil {
				return nil, err
			}
			records = append(records, record)
			t.dirty = false
		}
		if t.progress.Phase.Final() && !t.progress.AnyPlaced() {
			delete(c.active, id)
		}
	}
	if now.Sub(c.droppedAt) >= dropInterval {
		c.droppedAt = now
		records = append(records, c.dropEnded(now)...)
	}
	return records, nil
}

// dropInterval is the time between two scans of all jobs for those whose retention has expired.
const dropInterval = time.Second

// dropEnded drops jobs whose retention has expired, and returns the records that delete them from
// the store.
func (c *Controller) dropEnded(now time.Time) []topic.Record {
	var records []topic.Record
	for id, t := range c.jobs {
		if c.active[id] == nil && now.Sub(t.progress.EndedAt) > c.settings.EndedRetention {
			records = append(records, jobstore.DeleteRecords(id)...)
			delete(c.jobs, id)
			c.permits.dropJob(id)
		}
	}
	return records
}
