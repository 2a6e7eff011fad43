package jobstore

import (
	"encoding/json"
	"fmt"
	"strings"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// Keys of the topic. A job's key is one of the prefixes and the job's ID.
const (
	submissionPrefix = "j/"
	cancelPrefix     = "c/"
	progressPrefix   = "s/"
	leaderKey        = "d"
)

// producerName is the name under which leaders write; terms order them.
const producerName = "dispatcher"

// Leader says who is the leader.
type Leader struct {
	Term int64 `json:"term"`
	// Name names one life of an entry; it is empty when leadership was given up.
	Name string `json:"holder"`
	// Address is where agents reach the leader, such as 10.1.0.19:7000.
	Address string `json:"address"`
}

// SubmissionRecord stores a job.
func SubmissionRecord(j *job.Job) (Record, error) {
	value, err := j.Encode()
	return Record{Key: submissionPrefix + string(j.ID), Value: value}, err
}

// CancelRecord stores the wish to cancel a job.
func CancelRecord(id job.ID) Record {
	return Record{Key: cancelPrefix + string(id), Value: []byte("1")}
}

// ProgressRecord stores a job's progress.
func ProgressRecord(id job.ID, p *job.Progress) (Record, error) {
	value, err := p.Encode()
	return Record{Key: progressPrefix + string(id), Value: value}, err
}

// ForgetRecords drops all of a job.
func ForgetRecords(id job.ID) []Record {
	return []Record{
		{Key: submissionPrefix + string(id)}, {Key: cancelPrefix + string(id)}, {Key: progressPrefix + string(id)},
	}
}

// LeaderRecord stores who is the leader.
func LeaderRecord(o Leader) (Record, error) {
	value, err := json.Marshal(o)
	return Record{Key: leaderKey, Value: value}, err
}

// TermOf returns the producer of a leader's term.
func TermOf(term, sequence int64) *Producer {
	return &Producer{Name: producerName, Epoch: term, Sequence: sequence}
}

func decodeLeader(value []byte) (Leader, error) {
	var o Leader
	if err := json.Unmarshal(value, &o); err != nil {
		return o, fmt.Errorf("jobstore.decodeLeader: %w", err)
	}
	return o, nil
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
