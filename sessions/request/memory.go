package request

import (
	"container/heap"
	"sync"
	"time"
)

// Bounds of a DedupTable. A record takes about 300 bytes without its answer, so the total size
// stays below 64 MB.
const (
	maxKeys        = 100_000
	maxAnswerBytes = 24 << 20
	// maxClockAhead is the maximum time by which a key's timestamp may be ahead of the local clock.
	// A key further ahead is refused, because it would be evicted after all others.
	maxClockAhead = time.Hour
)

// Record is the entry of a DedupTable for one key.
type Record struct {
	key    Key
	digest string
	// done is closed once answer is set.
	done   chan struct{}
	answer Answer
	// bodyDropped means that the answer's body was discarded to save memory.
	bodyDropped bool
}

// Done returns a channel that is closed once the outcome is known.
func (r *Record) Done() <-chan struct{} { return r.done }

// ClaimStatus is the result of claiming a key.
type ClaimStatus int

// The results of a claim.
const (
	// First means that the key is new. The caller must run or refuse the request and then call
	// Complete.
	First ClaimStatus = iota
	// Duplicate means that the key was claimed before with the same body.
	Duplicate
	// BodyMismatch means that the key was claimed before with another body.
	BodyMismatch
	// Expired means that the key is so old that it may have been claimed and evicted.
	Expired
	// TooNew means that the key's timestamp is more than maxClockAhead in the future.
	TooNew
)

// DedupTable records the keys that one incarnation of an agent has seen. It is bounded: the keys
// with the oldest timestamps are evicted first. After that, every key that is not newer than an
// evicted key is Expired.
type DedupTable struct {
	mu      sync.Mutex
	records map[string]*Record
	byAge   keyHeap
	// newestEvicted is the newest timestamp of an evicted key.
	newestEvicted time.Time
	maxKeys       int
	maxBytes      int
	// bytes is the total size of the stored answer bodies.
	bytes int
	// answered lists the records with stored answer bodies, in the order of completion.
	answered []*Record
}

// NewDedupTable returns an empty table for up to 100,000 keys and 24 MB of answers.
func NewDedupTable() *DedupTable { return newDedupTable(maxKeys, maxAnswerBytes) }

func newDedupTable(keys, bytes int) *DedupTable {
	return &DedupTable{records: make(map[string]*Record), maxKeys: keys, maxBytes: bytes}
}

// Claim registers a key with the digest of the request body. The record is nil if the key is
// Expired or TooNew.
func (m *DedupTable) Claim(key Key, digest string) (ClaimStatus, *Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, found := m.records[key.String()]; found {
		if r.digest != digest {
			return BodyMismatch, r
		}
		return Duplicate, r
	}
	created := key.createdAt()
	if !created.After(m.newestEvicted) {
		return Expired, nil
	}
	if created.After(time.Now().Add(maxClockAhead)) {
		return TooNew, nil
	}
	r := &Record{key: key, digest: digest, done: make(chan struct{})}
	m.records[key.String()] = r
	heap.Push(&m.byAge, r)
	m.evict()
	return First, r
}

// evict removes the oldest keys beyond maxKeys and advances newestEvicted.
func (m *DedupTable) evict() {
	for len(m.records) > m.maxKeys {
		oldest := heap.Pop(&m.byAge).(*Record)
		delete(m.records, oldest.key.String())
		m.newestEvicted = oldest.key.createdAt()
	}
}

// Complete sets the outcome of a record. It must be called exactly once for each claim that
// returned First.
func (m *DedupTable) Complete(r *Record, answer Answer) {
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
		oldest.bodyDropped = true
	}
}

// Answer returns the outcome of a completed record. The outcome is Unknown if the body of a Done
// answer was discarded.
func (m *DedupTable) Answer(r *Record) Answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.bodyDropped && r.answer.Outcome == Done {
		return UnknownAnswer(r.answer.ID, "it ran, but its answer is no longer kept", 0)
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
