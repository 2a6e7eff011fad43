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

// safeBuffer is a buffer that is safe for concurrent use.
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

// TestHangup checks that SIGHUP does not end the process, and that the result of reloading the
// settings is logged.
func TestHangup(t *testing.T) {
	var out safeBuffer
	ready := make(chan struct{})
	go reloadOnHangup(t.Context(), zerolog.New(&out), ready)
	<-ready
	deadline := time.Now().Add(5 * time.Second)
	for !strings.Contains(out.String(), "settings read again") {
		if time.Now().After(deadline) {
			t.Fatalf("reload is not logged: %q", out.String())
		}
		time.Sleep(time.Millisecond)
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
}
