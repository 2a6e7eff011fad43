package telemetry

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
)

// TestWriterNeverBlocks checks that a reader that stops reading does not block the callers, that
// memory use stays bounded, and that dropped lines are reported.
func TestWriterNeverBlocks(t *testing.T) {
	reader, pipe := io.Pipe()
	w := NewWriter(pipe)
	const lines = 10 * bufferedLines
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range lines {
			// Warnings are not sampled, so each of them is queued.
			_, _ = w.Write([]byte("level=warn line\n"))
		}
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocks while the reader is not reading")
	}
	if got := len(w.lines); got > bufferedLines {
		t.Errorf("%d lines are queued, want at most %d", got, bufferedLines)
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
		t.Error("the dropped lines are not reported")
	}
	if got := strings.Count(out.String(), "line\n"); got > bufferedLines+1 || got == 0 {
		t.Errorf("unexpected number of written lines: %d", got)
	}
}

// TestSampling checks that the lines of a step that logs too much are sampled, that other steps and
// warnings are not, and that the number of dropped lines is logged.
func TestSampling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := NewWriter(&out)
		scope := tally.NewTestScope("", nil)
		w.SetDropCounter(scope.Counter("dropped"))
		const flood = 10 * sampleAfter
		for i := range flood {
			_, _ = w.Write([]byte("level=info step=busy event=x\n"))
			if i < 5 {
				_, _ = w.Write([]byte("level=info step=calm event=x\n"))
				_, _ = w.Write([]byte("level=warn step=busy event=bad\n"))
			}
			synctest.Wait()
		}
		time.Sleep(2 * sampleWindow)
		_, _ = w.Write([]byte("level=info step=calm event=last\n"))
		w.Close(time.Second)
		text := out.String()
		kept := sampleAfter + (flood-sampleAfter)/sampleEvery
		if got := strings.Count(text, "step=busy event=x"); got != kept {
			t.Errorf("%d of %d lines were written, want %d", got, flood, kept)
		}
		if strings.Count(text, "step=calm event=x") != 5 || strings.Count(text, "event=bad") != 5 {
			t.Error("lines of another step, or warnings, are missing")
		}
		want := fmt.Sprintf("event=\"log lines dropped by sampling\" step=busy count=%d", flood-kept)
		if !strings.Contains(text, want) {
			t.Errorf("the log does not contain %q", want)
		}
		if got := scope.Snapshot().Counters()["dropped+"].Value(); got != int64(flood-kept) {
			t.Errorf("the drop counter is %d, want %d", got, flood-kept)
		}
	})
}

// TestLine checks that a line consists of key=value pairs, and that values that a parser would
// split are quoted exactly once.
func TestLine(t *testing.T) {
	var out bytes.Buffer
	log := newLogger(Settings{Role: "entry", Name: "e", Log: &out}, 0)
	log.Warn().Str("step", "x").Str("empty", "").Str("plain", "a").Str("text", `say "no"`).
		Err(errors.New("one\ntwo")).Msg("it happened")
	for _, want := range []string{
		`event="it happened"`, `step=x`, `empty=""`, `plain=a`, `text="say \"no\""`, `error="one\ntwo"`,
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%s is missing in %s", want, out.String())
		}
	}
}

func BenchmarkLine(b *testing.B) {
	w := NewWriter(io.Discard)
	defer w.Close(time.Second)
	log := newLogger(Settings{Role: "entry", Name: "e", Log: w}, 0)
	for b.Loop() {
		log.Info().Str("step", "dispatch.start").Str("task", "5c0e7a21d94b36f8.0.1.17").Int("run", 2).
			Msg("run is placed")
	}
}
