package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// bufferedLines bounds the lines that wait to be written, about 300 KB.
const bufferedLines = 1024

// Writer writes log lines to another writer in the background. It never blocks its callers: while
// the other side does not read, as with a full pipe, lines are dropped, and the next line that is
// written is preceded by their number. Steps that log very many lines are sampled; see sampler. It
// is safe for concurrent use.
type Writer struct {
	lines chan []byte
	// unreported is the number of lines dropped since the last line that said so.
	unreported atomic.Int64
	// counter, if set, counts all lines that were dropped.
	counter atomic.Pointer[tally.Counter]
	done    chan struct{}
	once    sync.Once

	mu      sync.Mutex
	sampler *sampler
}

// NewWriter returns a Writer to w. Close ends its goroutine.
func NewWriter(w io.Writer) *Writer {
	b := &Writer{lines: make(chan []byte, bufferedLines), done: make(chan struct{}), sampler: newSampler()}
	go b.run(w)
	return b
}

// Count counts the lines that are dropped from now on in c.
func (b *Writer) Count(c tally.Counter) { b.counter.Store(&c) }

func (b *Writer) drop() {
	if c := b.counter.Load(); c != nil {
		(*c).Inc(1)
	}
}

// Write implements io.Writer. It takes or drops the whole line, and always reports it as written.
func (b *Writer) Write(line []byte) (int, error) {
	b.mu.Lock()
	dropped := b.sampler.roll(time.Now())
	keep := b.sampler.keep(line)
	b.mu.Unlock()
	for step, n := range dropped {
		b.put(warning(fmt.Sprintf(`event="log lines thinned" step=%s count=%d`, step, n)))
	}
	if !keep {
		b.drop()
		return len(line), nil
	}
	b.put(append([]byte(nil), line...))
	return len(line), nil
}

// warning returns a log line of the writer itself.
func warning(fields string) []byte {
	return fmt.Appendf(nil, "time=%s level=warn %s\n", time.Now().Format(time.RFC3339Nano), fields)
}

// put queues a line, or drops it if the queue is full.
func (b *Writer) put(line []byte) {
	select {
	case b.lines <- line:
	default:
		b.unreported.Add(1)
		b.drop()
	}
}

func (b *Writer) run(w io.Writer) {
	defer close(b.done)
	for line := range b.lines {
		if n := b.unreported.Swap(0); n > 0 {
			// The log itself can't be written, so its errors have nowhere to go, here and below.
			_, _ = w.Write(warning(fmt.Sprintf(`event="log lines left out" count=%d`, n)))
		}
		_, _ = w.Write(line)
	}
}

// Close writes the queued lines, for at most limit. Nothing may be written after it.
func (b *Writer) Close(limit time.Duration) {
	b.once.Do(func() { close(b.lines) })
	select {
	case <-b.done:
	case <-time.After(limit):
	}
}
