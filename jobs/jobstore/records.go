package jobstore

import (
	"strings"

	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// Prefixes of keys. The ID of a job follows.
const (
	submissionPrefix = "j/"
	cancelPrefix     = "c/"
	progressPrefix   = "s/"
)

// SubmissionRecord returns the record that stores a job.
func SubmissionRecord(j *job.Job) (topic.Record, error) {
	value, err := j.Encode()
	return topic.Record{Key: submissionPrefix + string(j.ID), Value: value}, err
}

// CancelRecord returns the record that stores the cancellation of a job.
func CancelRecord(id job.ID) topic.Record {
	return topic.Record{Key: cancelPrefix + string(id), Value: []byte("1")}
}

// ProgressRecord returns the record that stores the progress of a job.
func ProgressRecord(id job.ID, p *job.Progress) (topic.Record, error) {
	value, err := p.Encode()
	return topic.Record{Key: progressPrefix + string(id), Value: value}, err
}

// DeleteRecords returns the records that delete everything stored of a job.
func DeleteRecords(id job.ID) []topic.Record {
	return []topic.Record{
		{Key: submissionPrefix + string(id)},
		{Key: cancelPrefix + string(id)},
		{Key: progressPrefix + string(id)},
	}
}

// isCallerKey reports whether a key is that of a submission or a cancellation.
func isCallerKey(key string) bool {
	return strings.HasPrefix(key, submissionPrefix) || strings.HasPrefix(key, cancelPrefix)
}

// splitKey returns the prefix and the job ID of a key, and false if the key is not that of a job.
func splitKey(key string) (prefix string, id job.ID, ok bool) {
	for _, p := range []string{submissionPrefix, cancelPrefix, progressPrefix} {
		if rest, found := strings.CutPrefix(key, p); found {
			return p, job.ID(rest), true
		}
	}
	return "", "", false
}
