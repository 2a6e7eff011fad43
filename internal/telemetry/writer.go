package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// bufferedLines is the maximum number of queued lines, about 300 KB in total.
const bufferedLines = 1024

// Writer writes log lines to another writer in the background. It never blocks its callers: while
// the other writer blocks, as with a full pipe, lines are dropped, and a line with their number is
// written before the next line. The lines of steps that log too much are sampled; see sampler.
// Writer is safe for concurrent use.
type Writer struct {
	lines chan []byte
	// unreportedDrops is the number of lines dropped since dropped lines were last reported.
	unreportedDrops atomic.Int64
	// counter, if set, counts all dropped lines.
	counter atomic.Pointer[tally.Counter]
	done    chan struct{}
	once    sync.Once

	mu      sync.Mutex
	sampler *sampler
}

// NewWriter returns a Writer that writes to w. Close ends its goroutine.
func NewWriter(w io.Writer) *Writer {
	b := &Writer{lines: make(chan []byte, bufferedLines), done: make(chan struct{}), sampler: newSampler()}
	go b.run(w)
	return b
}

// SetDropCounter sets the counter of dropped lines. Lines dropped earlier are not counted.
func (b *Writer) SetDropCounter(c tally.Counter) { b.counter.Store(&c) }

func (b *Writer) countDrop() {
	if c := b.counter.Load(); c != nil {
		(*c).Inc(1)
	}
}

// Write implements io.Writer. It queues or drops the whole line, and always reports it as written.
func (b *Writer) Write(line []byte) (int, error) {
	b.mu.Lock()
	dropped := b.sampler.rollWindow(time.Now())
	keep := b.sampler.keep(line)
	b.mu.Unlock()
	for step, n := range dropped {
		b.enqueue(warningLine(fmt.Sprintf(`event="log lines dropped by sampling" step=%s count=%d`, step, n)))
	}
	if !keep {
		b.countDrop()
		return len(line), nil
	}
	b.enqueue(append([]byte(nil), line...))
	return len(line), nil
}

// warningLine returns a log line about the Writer itself.
func warningLine(fields string) []byte {
	return fmt.Appendf(nil, "time=%s level=warn %s\n", time.Now().Format(time.RFC3339Nano), fields)
}

// enqueue adds a line to the queue, or drops it if the queue is full.
func (b *Writer) enqueue(line []byte) {
	select {
	case b.lines <- line:
	default:
		b.unreportedDrops.Add(1)
		b.countDrop()
	}
}

func (b *Writer) run(w io.Writer) {
	defer close(b.done)
	for line := range b.lines {
		if n := b.unreportedDrops.Swap(0); n > 0 {
			// Errors are ignored here and below, because the log is where they would be reported.
			_, _ = w.Write(warningLine(fmt.Sprintf(`event="log lines left out" count=%d`, n)))
		}
		_, _ = w.Write(line)
	}
}

// Close writes the queued lines and waits for at most limit. Write must not be called after Close.
func (b *Writer) Close(limit time.Duration) {
	b.once.Do(func() { close(b.lines) })
	select {
	case <-b.done:
	case <-time.After(limit):
	}
}
