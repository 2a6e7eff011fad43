package job

import (
	"bytes"
	"cmp"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// storedProgress is the stored form of a Progress without its phase. The phase is stored as a
// leading byte, so that readers can get it without decoding the rest.
type storedProgress struct {
	EndedAt time.Time       `json:"e,omitzero"`
	Tasks   map[string]Task `json:"t,omitempty"`
	// RackWaits is keyed by the round and the step of the gang.
	RackWaits map[string]time.Time `json:"rw,omitempty"`
}

// Progress is stored on every change and read by every entry, so large records are compressed.
const (
	// compressMinBytes is the smallest size that is compressed; smaller records gain little.
	compressMinBytes = 512
	// compressionMark follows the phase if the rest is compressed (DEFLATE). Uncompressed JSON
	// begins with a brace instead.
	compressionMark = 'z'
)

// Encode returns the stored form of the progress.
func (p *Progress) Encode() ([]byte, error) {
	stored := storedProgress{EndedAt: p.EndedAt, Tasks: make(map[string]Task, len(p.tasks))}
	for s, t := range p.tasks {
		stored.Tasks[fmt.Sprintf("%d.%d.%d", s.round, s.step, s.index)] = *t
	}
	if len(p.rackWaits) > 0 {
		stored.RackWaits = make(map[string]time.Time, len(p.rackWaits))
	}
	for g, since := range p.rackWaits {
		stored.RackWaits[fmt.Sprintf("%d.%d", g.round, g.step)] = since
	}
	data, err := json.Marshal(stored)
	if err != nil {
		return nil, err
	}
	out := bytes.NewBuffer([]byte{byte(p.Phase)})
	if len(data) < compressMinBytes {
		out.Write(data)
		return out.Bytes(), nil
	}
	out.WriteByte(compressionMark)
	err = deflate(out, data)
	return out.Bytes(), err
}

// deflaters pools writers, because each takes about 0.6 MB.
var deflaters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		// The only possible error is an invalid compression level.
		panic(err)
	}
	return w
}}

func deflate(out io.Writer, data []byte) error {
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(out)
	if _, err := w.Write(data); err != nil {
		return fmt.Errorf("job.deflate: %w", err)
	}
	return w.Close()
}

// inflate returns the JSON of a stored progress. data excludes the phase.
func inflate(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != compressionMark {
		return data, nil
	}
	return io.ReadAll(flate.NewReader(bytes.NewReader(data[1:])))
}

// PhaseOf returns the phase of a stored progress: Queued if nothing is stored, and Running if the
// phase is unknown, because a job with a stored progress has started.
func PhaseOf(data []byte) Phase {
	if len(data) == 0 {
		return Queued
	}
	if p := Phase(data[0]); p == Queued || p == Running || p.Final() {
		return p
	}
	return Running
}

// DecodeProgress is the inverse of Encode. It returns an error if data is empty, cannot be
// decompressed, is not valid JSON, or has a malformed key of a task or gang.
func DecodeProgress(data []byte) (*Progress, error) {
	if len(data) == 0 {
		return nil, fmt.Errorf("job.DecodeProgress: record is empty")
	}
	text, err := inflate(data[1:])
	if err != nil {
		return nil, fmt.Errorf("job.DecodeProgress: %w", err)
	}
	var stored storedProgress
	if err := json.Unmarshal(text, &stored); err != nil {
		return nil, fmt.Errorf("job.DecodeProgress: %w", err)
	}
	p := &Progress{Phase: Phase(data[0]), EndedAt: stored.EndedAt, tasks: make(map[taskKey]*Task, len(stored.Tasks))}
	for key, t := range stored.Tasks {
		var s taskKey
		if _, err := fmt.Sscanf(key, "%d.%d.%d", &s.round, &s.step, &s.index); err != nil {
			return nil, fmt.Errorf("job.DecodeProgress: task %q: %w", key, err)
		}
		p.tasks[s] = &t
		if t.Placed() {
			p.placed = append(p.placed, placedTask{taskKey: s, task: &t})
		}
	}
	for key, since := range stored.RackWaits {
		var g gangKey
		if _, err := fmt.Sscanf(key, "%d.%d", &g.round, &g.step); err != nil {
			return nil, fmt.Errorf("job.DecodeProgress: wait for a rack %q: %w", key, err)
		}
		p.AwaitRack(TaskName{Round: g.round, Step: g.step}, since)
	}
	slices.SortFunc(p.placed, func(a, b placedTask) int {
		return cmp.Or(cmp.Compare(a.round, b.round), cmp.Compare(a.step, b.step), cmp.Compare(a.index, b.index))
	})
	p.countSuspects()
	return p, nil
}

// Decode returns the job that is stored under an ID. It returns an error if data is not the JSON
// of a job, or if the job has more tasks than can be tracked.
func Decode(id ID, data []byte) (*Job, error) {
	j := &Job{}
	if err := json.Unmarshal(data, j); err != nil {
		return nil, fmt.Errorf("job.Decode: %s: %w", id, err)
	}
	j.ID = id
	if err := j.validateTasks(); err != nil {
		return nil, fmt.Errorf("job.Decode: %s: %w", id, err)
	}
	return j, nil
}

// Encode returns the stored form of the job. It omits the ID, which is the key of the record.
func (j *Job) Encode() ([]byte, error) { return json.Marshal(j) }
