package directory

import (
	"encoding/json"
	"fmt"

	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// LeaderKey is the key of the record that names the leader, in both the directory topic and the job
// topic.
const LeaderKey = "d"

// producerName is the producer name shared by all leaders, which the log orders by term.
const producerName = "dispatcher"

// Leader identifies the leader of a term.
type Leader struct {
	Term int64 `json:"term"`
	// Incarnation identifies the start of the leading entry. It is empty if the leader has stepped
	// down.
	Incarnation string `json:"holder"`
	// Address is the host and port at which agents reach the leader.
	Address string `json:"address"`
}

// LeaderRecord encodes the record that names the leader.
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

// TermProducer returns the producer that the leader of a term uses for its appends. The log fences
// producers of earlier terms.
func TermProducer(term, sequence int64) *topic.Producer {
	return &topic.Producer{Name: producerName, Epoch: term, Sequence: sequence}
}
