package telemetry

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"
)

// TestWriterNeverBlocks: a reader that stops reading stops nobody, memory stays bounded, and what was left out is told.
func TestWriterNeverBlocks(t *testing.T) {
	reader, pipe := io.Pipe()
	w := NewWriter(pipe)
	const lines = 10 * bufferedLines
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range lines {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("writing blocks while nobody reads")
	}
	if got := len(w.lines); got > bufferedLines {
		t.Errorf("%d lines wait, the bound is %d", got, bufferedLines)
	}
	var out bytes.Buffer
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.Copy(&out, reader)
	}()
	w.Close(10 * time.Second)
	_ = pipe.Close()
	<-read
	if !strings.Contains(out.String(), "log lines left out") {
		t.Error("nobody is told that lines were left out")
	}
	if got := strings.Count(out.String(), "line\n"); got > bufferedLines+1 || got == 0 {
		t.Errorf("%d lines came through", got)
	}
}

func BenchmarkLine(b *testing.B) {
	w := NewWriter(io.Discard)
	defer w.Close(time.Second)
	log := newLogger(Settings{Role: "entry", Name: "e", Log: w}, 0)
	for b.Loop() {
		log.Info().Str("step", "dispatch.start").Str("task", "5c0e7a21d94b36f8.0.1.17").Int("run", 2).Msg("run is placed")
	}
}
