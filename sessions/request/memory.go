package request

import (
	"container/heap"
	"sync"
	"time"
)

// Bounds of a Memory. A record takes some 300 bytes without its answer, so that both together
// stay below 64 MB.
const (
	maxKeys        = 100_000
	maxAnswerBytes = 24 << 20
	// maxAhead is how far in the future a key may have been minted by this machine's clock. A
	// key further ahead is refused, because it would push out all others.
	maxAhead = time.Hour
)

// Record is what an agent remembers of one key.
type Record struct {
	key    Key
	digest string
	// done is closed when answer is set.
	done   chan struct{}
	answer Answer
	// dropped says that the answer was too old to keep.
	dropped bool
}

// Done is closed when the key has its outcome.
func (r *Record) Done() <-chan struct{} { return r.done }

// ClaimStatus says what a key means to the agent that was asked to run it.
type ClaimStatus int

// The statuses.
const (
	// First says that the key is new: the caller of Claim must run it or refuse it, and then
	// Settle it.
	First ClaimStatus = iota
	// Seen says that the key has been claimed before.
	Seen
	// OtherBody says that the key has been claimed before with another body.
	OtherBody
	// Forgotten says that the key is so old that it may have been claimed and forgotten.
	Forgotten
	// TooNew says that the key's time is far in the future.
	TooNew
)

// Memory remembers the keys of one incarnation of an agent. It is bounded: it forgets the keys
// minted first, and from then on claims as Forgotten every key that was minted no later than
// one that it forgot.
type Memory struct {
	mu       sync.Mutex
	records  map[string]*Record
	order    keyHeap
	floor    time.Time
	maxKeys  int
	maxBytes int
	bytes    int
	// answered lists records with kept answers, oldest first.
	answered []*Record
}

// NewMemory returns an empty memory with the usual bounds.
func NewMemory() *Memory { return newMemory(maxKeys, maxAnswerBytes) }

func newMemory(keys, bytes int) *Memory {
	return &Memory{records: make(map[string]*Record), maxKeys: keys, maxBytes: bytes}
}

// Claim asks to run the key with a body of the given digest.
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

// forget drops the records minted first until the bound holds, and raises the floor to them.
func (m *Memory) forget() {
	for len(m.records) > m.maxKeys {
		oldest := heap.Pop(&m.order).(*Record)
		delete(m.records, oldest.key.String())
		m.floor = oldest.key.createdAt()
	}
}

// Settle gives the record its outcome, once and for all.
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

// Answer returns the outcome of a settled record. A kept outcome whose answer was dropped is
// Unknown: half an answer is never given.
func (m *Memory) Answer(r *Record) Answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.dropped && r.answer.Outcome == Done {
		return Uncertain(r.answer.ID, "it ran, but its answer is no longer kept", 0)
	}
	return r.answer
}

// keyHeap orders records by the time at which their keys were minted.
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
