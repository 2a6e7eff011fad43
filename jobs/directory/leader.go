package directory

import (
	"encoding/json"
	"fmt"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// LeaderKey is the key of the record that names the leader, in both the directory topic and the job
// topic.
const LeaderKey = "d"

// MaxTerm is the largest valid term: that of an election per second for more than 15 years. The fences
// that are made of a term, which have 34 bits more, do not overflow. The limit doesn't depend on what
// a process has read before, so all processes accept the same records.
const MaxTerm = 500_000_000

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

// DecodeLeader decodes and checks the value of a record made by LeaderRecord. The address is empty if
// the leader has stepped down.
func DecodeLeader(value []byte) (Leader, error) {
	var leader Leader
	if err := json.Unmarshal(value, &leader); err != nil {
		return leader, fmt.Errorf("directory.DecodeLeader: %w", err)
	}
	if leader.Term < 0 || leader.Term > MaxTerm {
		return leader, fmt.Errorf("directory.DecodeLeader: %w",
			fault.BadField("term", "want 0 to %d, got %d", MaxTerm, leader.Term))
	}
	if leader.Address == "" {
		return leader, nil
	}
	if err := checkAddress(leader.Address); err != nil {
		return leader, fmt.Errorf("directory.DecodeLeader: %w", fault.BadField("address", "%v", err))
	}
	return leader, nil
}

// TermProducer returns the producer that the leader of a term uses for its appends. The log fences
// producers of earlier terms.
func TermProducer(term, sequence int64) *topic.Producer {
	return &topic.Producer{Name: producerName, Epoch: term, Sequence: sequence}
}
