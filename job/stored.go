package job

import (
	"encoding/json"
	"fmt"
	"time"
)

// storedProgress is the stored form of a Progress behind the byte of its phase, which readers take without the rest.
type storedProgress struct {
	EndedAt time.Time       `json:"e,omitzero"`
	Tasks   map[string]Task `json:"t,omitempty"`
}

// Encode returns the stored form.
func (p *Progress) Encode() ([]byte, error) {
	stored := storedProgress{EndedAt: p.EndedAt, Tasks: make(map[string]Task, len(p.tasks))}
	for s, t := range p.tasks {
		stored.Tasks[fmt.Sprintf("%d.%d.%d", s.round, s.step, s.index)] = *t
	}
	data, err := json.Marshal(stored)
	return append([]byte{byte(p.Phase)}, data...), err
}

// PhaseOf returns the phase of a stored progress.
func PhaseOf(data []byte) Phase {
	if len(data) == 0 {
		return Queued
	}
	return Phase(data[0])
}

// DecodeProgress is the reverse of Encode.
func DecodeProgress(data []byte) (*Progress, error) {
	if len(data) == 0 {
		return nil, fmt.Errorf("job.DecodeProgress: nothing is stored")
	}
	var stored storedProgress
	if err := json.Unmarshal(data[1:], &stored); err != nil {
		return nil, fmt.Errorf("job.DecodeProgress: %w", err)
	}
	p := &Progress{Phase: Phase(data[0]), EndedAt: stored.EndedAt, tasks: make(map[slot]*Task, len(stored.Tasks))}
	for key, t := range stored.Tasks {
		var s slot
		if _, err := fmt.Sscanf(key, "%d.%d.%d", &s.round, &s.step, &s.index); err != nil {
			return nil, fmt.Errorf("job.DecodeProgress: task %q: %w", key, err)
		}
		p.tasks[s] = &t
	}
	return p, nil
}

// Decode returns the job that was stored under an ID.
func Decode(id ID, data []byte) (*Job, error) {
	j := &Job{}
	if err := json.Unmarshal(data, j); err != nil {
		return nil, fmt.Errorf("job.Decode: %s: %w", id, err)
	}
	j.ID = id
	return j, nil
}

// Encode returns the stored form. The ID is not part of it: it is the key.
func (j *Job) Encode() ([]byte, error) { return json.Marshal(j) }
