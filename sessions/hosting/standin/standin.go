// Package standin is a small in-memory platform for sessions, for tests and for `yarrowgraded dev`.
//
// It keeps streams, boxes and workers, and can inject faults: an unavailable or slow log, a lost
// response to an append that took effect, expired records, and listed boxes that do not exist. It
// does not simulate network, timing or load.
//
// # Usage
//
//	p := standin.New()
//	p.SetFaults(standin.Faults{LoseAnswers: 1})
//	http.ListenAndServe("127.0.0.1:7400", standin.Handler(p))
package standin

import (
	"context"
	"errors"
	"slices"
	"sort"
	"sync"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/hosting"
)

// Errors that the injected faults cause.
var (
	// ErrDown is returned by all calls to the log while Faults.Down is set.
	ErrDown = errors.New("the log is down")
	// ErrAnswerLost is returned by an append that took effect but whose response was lost.
	ErrAnswerLost = errors.New("the answer was lost")
)

// Faults are the faults to inject. The zero value injects none.
type Faults struct {
	// Down makes every call to the log fail.
	Down bool
	// LoseAnswers is how many of the next appends take effect but return ErrAnswerLost.
	LoseAnswers int
	// Delay is how long each append waits before it takes effect.
	Delay time.Duration
	// Retention is the number of records that each stream keeps. Zero means no limit.
	Retention int
}

type stream struct {
	first   int64
	records [][]byte
}

type task struct {
	hosting.Task
	spec       hosting.TaskSpec
	started    time.Time
	expires    time.Time
	checkpoint time.Duration
}

type worker struct {
	gone          bool
	tasks         map[int64]*task
	fences        map[int]int64
	stoppedTokens map[int64]bool
}

// Platform is an in-memory hosting.Platform.
type Platform struct {
	mu      sync.Mutex
	faults  Faults
	streams map[string]*stream
	boxes   map[string]hosting.Box
	workers map[string]*worker
	changed chan struct{}
}

// New returns an empty, healthy platform.
func New() *Platform {
	return &Platform{
		streams: make(map[string]*stream),
		boxes:   make(map[string]hosting.Box),
		workers: make(map[string]*worker),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notifyReaders()
}

// SetBox adds a box to the list or replaces it.
func (p *Platform) SetBox(b hosting.Box) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.boxes[b.Name] = b
}

// RemoveBox removes a box from the list.
func (p *Platform) RemoveBox(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.boxes, name)
}

// RemoveWorker ends the tasks of a worker and declares the worker gone.
func (p *Platform) RemoveWorker(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.worker(name)
	w.gone = true
	w.tasks = make(map[int64]*task)
}

// notifyReaders wakes waiting readers to read again. The caller must hold p.mu.
func (p *Platform) notifyReaders() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) stream(name string) *stream {
	s, found := p.streams[name]
	if !found {
		s = &stream{first: 1}
		p.streams[name] = s
	}
	return s
}

// Append implements hosting.Log.
func (p *Platform) Append(ctx context.Context, name string, data []byte) (int64, error) {
	if err := p.applyDelay(ctx); err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down {
		return 0, ErrDown
	}
	s := p.stream(name)
	s.records = append(s.records, slices.Clone(data))
	offset := s.first + int64(len(s.records)) - 1
	if keep := p.faults.Retention; keep > 0 && len(s.records) > keep {
		drop := len(s.records) - keep
		s.records = slices.Clone(s.records[drop:])
		s.first += int64(drop)
	}
	p.notifyReaders()
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		return 0, ErrAnswerLost
	}
	return offset, nil
}

func (p *Platform) applyDelay(ctx context.Context) error {
	p.mu.Lock()
	delay := p.faults.Delay
	p.mu.Unlock()
	if delay == 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Read implements hosting.Log.
func (p *Platform) Read(
	ctx context.Context, name string, offset int64, limit int, wait time.Duration,
) (hosting.Batch, error) {
	deadline := time.Now().Add(wait)
	for {
		batch, changed, err := p.read(name, offset, limit)
		if err != nil || len(batch.Records) > 0 {
			return batch, err
		}
		left := time.Until(deadline)
		if left <= 0 {
			return batch, nil
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return hosting.Batch{}, ctx.Err()
		}
		timer.Stop()
	}
}

func (p *Platform) read(name string, offset int64, limit int) (hosting.Batch, chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down {
		return hosting.Batch{}, nil, ErrDown
	}
	s := p.stream(name)
	next := s.first + int64(len(s.records))
	batch := hosting.Batch{Oldest: s.first, Next: next}
	if offset == 0 {
		offset = s.first
	}
	if offset < s.first {
		return batch, nil, hosting.ErrRecordsExpired
	}
	for o := offset; o < next && len(batch.Records) < limit; o++ {
		batch.Records = append(batch.Records, hosting.Record{Offset: o, Data: s.records[o-s.first]})
	}
	return batch, p.changed, nil
}

// Boxes implements hosting.Boxes.
func (p *Platform) Boxes(context.Context) ([]hosting.Box, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	boxes := make([]hosting.Box, 0, len(p.boxes))
	for _, b := range p.boxes {
		boxes = append(boxes, b)
	}
	sort.Slice(boxes, func(i, j int) bool { return boxes[i].Name < boxes[j].Name })
	return boxes, nil
}
