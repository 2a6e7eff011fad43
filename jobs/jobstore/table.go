package jobstore

import (
	"fmt"
	"slices"

	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// StoredJob is everything stored of a job, in encoded form.
type StoredJob struct {
	ID         job.ID
	Submission []byte
	Cancelled  bool
	Progress   []byte
}

// version is the newest value of a key, or nil if the key is deleted.
type version struct {
	value  []byte
	offset int64
}

// noVersion is the version of a key without a record.
var noVersion = version{offset: -1}

// row holds the newest records of a job, and its queue.
type row struct {
	submission version
	cancel     version
	progress   version
	queue      string
}

func (r *row) empty() bool {
	return r.submission.value == nil && r.cancel.value == nil && r.progress.value == nil
}

func (r *row) stored(id job.ID) StoredJob {
	return StoredJob{
		ID:         id,
		Submission: r.submission.value,
		Cancelled:  r.cancel.value != nil,
		Progress:   r.progress.value,
	}
}

// phase returns the phase of the job. A cancellation has no effect on a job that has ended.
func (r *row) phase() job.Phase {
	p := job.PhaseOf(r.progress.value)
	if !p.Final() && r.cancel.value != nil {
		return job.Cancelled
	}
	return p
}

// submit keeps the first submission of a job, and returns the job: a second one is a retry by its
// caller.
func (r *row) submit(id job.ID, v version) (*job.Job, error) {
	r.submission.offset = v.offset
	if v.value == nil {
		r.submission.value = nil
		return nil, nil
	}
	if r.submission.value != nil {
		return nil, nil
	}
	r.submission.value = v.value
	j, err := job.Decode(id, v.value)
	if err != nil {
		return nil, fmt.Errorf("submission at offset %d: %w", v.offset, err)
	}
	r.queue = j.Queue
	return j, nil
}

// table holds the newest records of all jobs. It is not safe for concurrent use.
type table struct {
	rows map[job.ID]*row
	// changed holds the jobs that were submitted, cancelled or deleted since takeChanged.
	changed map[job.ID]bool
	// recent holds the newest submissions, at most maxRecent.
	recent []submittedJob
}

// submittedJob is a job with the offset of its submission.
type submittedJob struct {
	job    *job.Job
	offset int64
}

// maxRecent bounds the submissions that are kept to be added to a forecast. A forecast is replaced
// after a second, in which far fewer jobs are submitted.
const maxRecent = 512

// submittedFrom returns the newest jobs whose submission has at least the given offset.
func (t *table) submittedFrom(offset int64) []*job.Job {
	var jobs []*job.Job
	for _, s := range t.recent {
		if s.offset >= offset {
			jobs = append(jobs, s.job)
		}
	}
	return jobs
}

// addRecent adds a submission to the newest ones.
func (t *table) addRecent(j *job.Job, offset int64) {
	if len(t.recent) == maxRecent {
		t.recent = slices.Delete(t.recent, 0, maxRecent/2)
	}
	t.recent = append(t.recent, submittedJob{job: j, offset: offset})
}

func newTable() table {
	return table{rows: map[job.ID]*row{}, changed: map[job.ID]bool{}}
}

// clear removes all jobs and marks them as changed.
func (t *table) clear() {
	for id := range t.rows {
		t.changed[id] = true
	}
	t.rows = map[job.ID]*row{}
	t.recent = nil
}

// apply applies a record, unless a newer one of its key has been applied. It reports whether the
// record is newer progress of a job. An error means that the job's queue is unknown; the record is
// applied nevertheless.
func (t *table) apply(s topic.StoredRecord) (progressed bool, err error) {
	prefix, id, ok := splitKey(s.Key)
	if !ok {
		return false, nil
	}
	r := t.rows[id]
	if r == nil {
		r = &row{submission: noVersion, cancel: noVersion, progress: noVersion}
		t.rows[id] = r
	}
	v := version{value: s.Value, offset: s.Offset}
	switch {
	case prefix == submissionPrefix && v.offset > r.submission.offset:
		var first *job.Job
		if first, err = r.submit(id, v); first != nil {
			t.addRecent(first, v.offset)
		}
		t.changed[id] = true
	case prefix == cancelPrefix && v.offset > r.cancel.offset:
		r.cancel = v
		t.changed[id] = true
	case prefix == progressPrefix && v.offset > r.progress.offset:
		r.progress = v
		progressed = true
	}
	if r.empty() {
		delete(t.rows, id)
	}
	return progressed, err
}

// submitted returns the row of a job, or nil if the job's submission is not stored.
func (t *table) submitted(id job.ID) *row {
	if r := t.rows[id]; r != nil && r.submission.value != nil {
		return r
	}
	return nil
}

// ids returns the jobs whose submission is stored, sorted.
func (t *table) ids() []job.ID {
	ids := make([]job.ID, 0, len(t.rows))
	for id := range t.rows {
		if t.submitted(id) != nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// pending counts the jobs of a queue none of whose tasks has started.
func (t *table) pending(queue string) int {
	n := 0
	for _, r := range t.rows {
		if r.submission.value != nil && r.queue == queue && r.phase() == job.Queued {
			n++
		}
	}
	return n
}

// all returns all jobs and resets the set of changed ones.
func (t *table) all() []StoredJob {
	jobs := make([]StoredJob, 0, len(t.rows))
	for id, r := range t.rows {
		jobs = append(jobs, r.stored(id))
	}
	clear(t.changed)
	return jobs
}

// takeChanged returns the changed jobs that are still stored, and resets the set of changed ones.
func (t *table) takeChanged() []StoredJob {
	var jobs []StoredJob
	for id := range t.changed {
		if r := t.rows[id]; r != nil {
			jobs = append(jobs, r.stored(id))
		}
	}
	clear(t.changed)
	return jobs
}
