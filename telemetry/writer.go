package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// bufferedLines bounds what waits to be written: some 300 KB of lines.
const bufferedLines = 1024

// Writer hands log lines to another writer in the background. It never blocks: when the other side does not take them, as a
// pipe that nobody reads, lines are left out, and the next line that is written says how many.
type Writer struct {
	lines chan []byte
	lost  atomic.Int64
	done  chan struct{}
	once  sync.Once
}

// NewWriter returns a writer in front of w.
func NewWriter(w io.Writer) *Writer {
	b := &Writer{lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go b.run(w)
	return b
}

// Write implements io.Writer. It always takes the whole line, or leaves it out.
func (b *Writer) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.lost.Add(1)
	}
	return len(line), nil
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
