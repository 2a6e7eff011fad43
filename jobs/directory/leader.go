package directory

import (
	"encoding/json"
	"fmt"

	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// LeaderKey is the key of the record that names the leader, in the directory's topic and in that of
// the jobs.
const LeaderKey = "d"

// producerName is the producer of all leaders; the log orders them by their terms.
const producerName = "dispatcher"

// Leader is the leader of a term.
type Leader struct {
	Term int64 `json:"term"`
	// Incarnation names the start of the entry that leads; it is empty if the leader has stepped
	// down.
	Incarnation string `json:"holder"`
	// Address is where agents reach the leader, as a host and port.
	Address string `json:"address"`
}

// LeaderRecord returns the record that names the leader.
func LeaderRecord(leader Leader) (topic.Record, error) {
	value, err := json.Marshal(leader)
	return topic.Record{Key: LeaderKey, Value: value}, err
}

// DecodeLeader decodes the value of a record made by LeaderRecord.
func DecodeLeader(value []byte) (Leader, error) {
	var leader Leader
	if err := json.Unmarshal(value, &leader); err != nil {
		return leader, fmt.Errorf("directory.DecodeLeader: %w", err)
	}
	return leader, nil
}

// TermProducer returns the producer under which the leader of a term appends.
func TermProducer(term, sequence int64) *topic.Producer {
	return &topic.Producer{Name: producerName, Epoch: term, Sequence: sequence}
}
