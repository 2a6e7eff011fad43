package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// bufferedLines bounds what waits to be written: some 300 KB of lines.
const bufferedLines = 1024

// Writer hands log lines to another writer in the background. It never blocks: when the other side does not take them, as a
// pipe that nobody reads, lines are left out, and the next line that is written says how many. Steps that write very many
// lines are thinned, and what was left out of each is told.
type Writer struct {
	lines chan []byte
	lost  atomic.Int64
	// left counts all lines that were left out, and counter is where they are counted too, if that is set.
	left    atomic.Int64
	counter atomic.Pointer[tally.Counter]
	done    chan struct{}
	once    sync.Once

	mu   sync.Mutex
	thin *thinner
}

// NewWriter returns a writer in front of w.
func NewWriter(w io.Writer) *Writer {
	b := &Writer{lines: make(chan []byte, bufferedLines), done: make(chan struct{}), thin: newThinner()}
	go b.run(w)
	return b
}

// Left is how many lines have been left out so far.
func (b *Writer) Left() int64 { return b.left.Load() }

// Count lets the lines that are left out be counted by a counter too.
func (b *Writer) Count(c tally.Counter) { b.counter.Store(&c) }

func (b *Writer) leave() {
	b.left.Add(1)
	if c := b.counter.Load(); c != nil {
		(*c).Inc(1)
	}
}

// Write implements io.Writer. It always takes the whole line, or leaves it out.
func (b *Writer) Write(line []byte) (int, error) {
	b.mu.Lock()
	told := b.thin.next(time.Now())
	keeps := b.thin.keeps(line)
	b.mu.Unlock()
	for step, n := range told {
		b.put(fmt.Appendf(nil, "time=%s level=warn event=\"log lines thinned\" step=%s count=%d\n", time.Now().Format(time.RFC3339Nano), step, n))
	}
	if !keeps {
		b.leave()
		return len(line), nil
	}
	b.put(append([]byte(nil), line...))
	return len(line), nil
}

// put hands a line to the background, or leaves it out.
func (b *Writer) put(line []byte) {
	select {
	case b.lines <- line:
	default:
		b.lost.Add(1)
		b.leave()
	}
}

func (b *Writer) run(w io.Writer) {
	defer close(b.done)
	for line := range b.lines {
		if n := b.lost.Swap(0); n > 0 {
			fmt.Fprintf(w, "time=%s level=warn event=\"log lines left out\" count=%d\n", time.Now().Format(time.RFC3339Nano), n)
		}
		// A failure to write has nowhere to go.
		_, _ = w.Write(line)
	}
}

// Close writes what waits, but for no longer than the limit. Nothing may be written after it.
func (b *Writer) Close(limit time.Duration) {
	b.once.Do(func() { close(b.lines) })
	select {
	case <-b.done:
	case <-time.After(limit):
	}
}
