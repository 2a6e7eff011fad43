package main

import (
	"bytes"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// safeBuffer is a buffer for two goroutines.
type safeBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// TestHangup: SIGHUP does not end the process, and what came of reading the settings again is told.
func TestHangup(t *testing.T) {
	var out safeBuffer
	ready := make(chan struct{})
	go onHangup(t.Context(), zerolog.New(&out), ready)
	<-ready
	for deadline := time.Now().Add(5 * time.Second); !strings.Contains(out.String(), "settings read again"); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("nothing is told: %q", out.String())
		}
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
}
