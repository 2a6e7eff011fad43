// Package jobstore keeps what must last about jobs in one keyed topic of a log that others run: submissions, cancels, the
// progress of each job, and who is the leader.
//
// The newest record of each key counts. A Replica follows the topic and holds the newest record of each key; it says how
// old its proof is that nothing newer exists. All writers are told apart by their keys: any entry writes submissions and
// cancels, only the leader writes progress. The log shuts out the writes of a leader that has been
// succeeded, because they carry its term.
//
// # Usage
//
//	r := jobstore.NewReplica(log, logger)
//	go r.Run(ctx)
//	<-r.Changed()
//	submitted := r.Submission(id)
package jobstore

import (
	"strings"

	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// Keys of the topic. A job's key is one of the prefixes and the job's ID.
const (
	submissionPrefix = "j/"
	cancelPrefix     = "c/"
	progressPrefix   = "s/"
)

// SubmissionRecord stores a job.
func SubmissionRecord(j *job.Job) (topic.Record, error) {
	value, err := j.Encode()
	return topic.Record{Key: submissionPrefix + string(j.ID), Value: value}, err
}

// CancelRecord stores the wish to cancel a job.
func CancelRecord(id job.ID) topic.Record {
	return topic.Record{Key: cancelPrefix + string(id), Value: []byte("1")}
}

// ProgressRecord stores a job's progress.
func ProgressRecord(id job.ID, p *job.Progress) (topic.Record, error) {
	value, err := p.Encode()
	return topic.Record{Key: progressPrefix + string(id), Value: value}, err
}

// DeleteRecords drops all of a job.
func DeleteRecords(id job.ID) []topic.Record {
	return []topic.Record{
		{Key: submissionPrefix + string(id)}, {Key: cancelPrefix + string(id)}, {Key: progressPrefix + string(id)},
	}
}

// jobKey returns the job of a key, and false for keys that are no job's.
func jobKey(key string) (prefix string, id job.ID, ok bool) {
	for _, p := range []string{submissionPrefix, cancelPrefix, progressPrefix} {
		if rest, found := strings.CutPrefix(key, p); found {
			return p, job.ID(rest), true
		}
	}
	return "", "", false
}
