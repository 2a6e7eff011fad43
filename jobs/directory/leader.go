package directory

import (
	"encoding/json"
	"fmt"

	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// LeaderKey is the key of the record that says who is the leader.
const LeaderKey = "d"

// producerName is the name under which leaders write; terms order them.
const producerName = "dispatcher"

// Leader says who is the leader.
type Leader struct {
	Term int64 `json:"term"`
	// Incarnation names one life of an entry; it is empty when leadership was given up.
	Incarnation string `json:"holder"`
	// Address is where agents reach the leader, such as 10.1.0.19:7000.
	Address string `json:"address"`
}

// LeaderRecord stores who is the leader.
func LeaderRecord(o Leader) (topic.Record, error) {
	value, err := json.Marshal(o)
	return topic.Record{Key: LeaderKey, Value: value}, err
}

// TermProducer returns the producer of a leader's term.
func TermProducer(term, sequence int64) *topic.Producer {
	return &topic.Producer{Name: producerName, Epoch: term, Sequence: sequence}
}

// DecodeLeader is the reverse of LeaderRecord.
func DecodeLeader(value []byte) (Leader, error) {
	var o Leader
	if err := json.Unmarshal(value, &o); err != nil {
		return o, fmt.Errorf("jobstore.decodeLeader: %w", err)
	}
	return o, nil
}
