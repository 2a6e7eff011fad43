package request

import (
	"container/heap"
	"sync"
	"time"
)

// Bounds of a Memory. A record takes about 300 bytes without its answer, so the total stays below
// 64 MB.
const (
	maxKeys        = 100_000
	maxAnswerBytes = 24 << 20
	// maxAhead is how far ahead of this machine's clock a key's timestamp may be. A key further
	// ahead is refused: it would be the last one forgotten.
	maxAhead = time.Hour
)

// Record is what an agent remembers of a key.
type Record struct {
	key    Key
	digest string
	// done is closed once answer is set.
	done   chan struct{}
	answer Answer
	// dropped means that the answer's body was discarded to save memory.
	dropped bool
}

// Done returns a channel that is closed once the outcome is known.
func (r *Record) Done() <-chan struct{} { return r.done }

// ClaimStatus is the result of claiming a key.
type ClaimStatus int

// The statuses.
const (
	// First means that the key is new. The caller must run or refuse the request and then call
	// Settle.
	First ClaimStatus = iota
	// Seen means that the key was claimed before with the same body.
	Seen
	// OtherBody means that the key was claimed before with another body.
	OtherBody
	// Forgotten means that the key is so old that it may have been claimed and forgotten.
	Forgotten
	// TooNew means that the key's timestamp is more than maxAhead in the future.
	TooNew
)

// Memory remembers the keys that one incarnation of an agent has seen. It is bounded: the keys
// with the oldest timestamps are forgotten first, and from then on every key that is not newer
// than a forgotten one counts as Forgotten.
type Memory struct {
	mu      sync.Mutex
	records map[string]*Record
	order   keyHeap
	// floor is the newest timestamp of a forgotten key.
	floor    time.Time
	maxKeys  int
	maxBytes int
	// bytes is the total size of the kept answers.
	bytes int
	// answered lists the records with kept answers, the first settled first.
	answered []*Record
}

// NewMemory returns an empty memory for up to 100,000 keys and 24 MB of answers.
func NewMemory() *Memory { return newMemory(maxKeys, maxAnswerBytes) }

func newMemory(keys, bytes int) *Memory {
	return &Memory{records: make(map[string]*Record), maxKeys: keys, maxBytes: bytes}
}

// Claim registers a key with the digest of its request's body. The record is nil if the key is
// Forgotten or TooNew.
func (m *Memory) Claim(key Key, digest string) (ClaimStatus, *Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, found := m.records[key.String()]; found {
		if r.digest != digest {
			return OtherBody, r
		}
		return Seen, r
	}
	minted := key.createdAt()
	if !minted.After(m.floor) {
		return Forgotten, nil
	}
	if minted.After(time.Now().Add(maxAhead)) {
		return TooNew, nil
	}
	r := &Record{key: key, digest: digest, done: make(chan struct{})}
	m.records[key.String()] = r
	heap.Push(&m.order, r)
	m.forget()
	return First, r
}

// forget drops the oldest keys beyond maxKeys and raises the floor to them.
func (m *Memory) forget() {
	for len(m.records) > m.maxKeys {
		oldest := heap.Pop(&m.order).(*Record)
		delete(m.records, oldest.key.String())
		m.floor = oldest.key.createdAt()
	}
}

// Settle sets the outcome of a record. It must be called once for each claim that returned First.
func (m *Memory) Settle(r *Record, answer Answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r.answer = answer
	close(r.done)
	if answer.Body == "" {
		return
	}
	m.bytes += len(answer.Body)
	m.answered = append(m.answered, r)
	for m.bytes > m.maxBytes || len(m.answered) > m.maxKeys {
		oldest := m.answered[0]
		m.answered = m.answered[1:]
		m.bytes -= len(oldest.answer.Body)
		oldest.answer.Body = ""
		oldest.dropped = true
	}
}

// Answer returns the outcome of a settled record. It is Unknown if the body of a Done answer was
// discarded.
func (m *Memory) Answer(r *Record) Answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.dropped && r.answer.Outcome == Done {
		return Uncertain(r.answer.ID, "it ran, but its answer is no longer kept", 0)
	}
	return r.answer
}

// keyHeap orders records by the timestamps of their keys.
type keyHeap []*Record

func (h keyHeap) Len() int           { return len(h) }
func (h keyHeap) Less(i, j int) bool { return h[i].key.createdAt().Before(h[j].key.createdAt()) }
func (h keyHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *keyHeap) Push(x any) { *h = append(*h, x.(*Record)) }

// Pop implements heap.Interface.
func (h *keyHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
