package loopback

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// helperEnv is the environment variable that is set for the helper process of TestStartAgainOnce,
// which runs this test binary.
const helperEnv = "LOOPBACK_HELPER"

// TestHelper is the helper process. It prints that it has started and exits after a second.
func TestHelper(t *testing.T) {
	if os.Getenv(helperEnv) == "" {
		return
	}
	fmt.Println("helper started")
	time.Sleep(time.Second)
}

// TestStartAgainOnce checks that if several callers detect that a process has exited, exactly one
// of them restarts it.
func TestStartAgainOnce(t *testing.T) {
	log := filepath.Join(t.TempDir(), "log")
	p := &Process{
		Path: os.Args[0],
		Args: []string{"-test.run", "^TestHelper$", "-test.v"},
		Env:  []string{helperEnv + "=1"},
		Log:  log,
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	const rounds = 5
	for range rounds {
		p.Kill()
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				if err := p.EnsureRunning(); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		waitForStart(t, log)
	}
	<-p.Done()
	if got := starts(t, log); got != rounds+1 && got != rounds {
		// The first process may have been killed before it printed its message.
		t.Errorf("%d starts, want %d", got, rounds+1)
	}
}

// waitForStart waits until the running process has printed its message, and another 50 ms for the
// message of any duplicate process.
func waitForStart(t *testing.T, log string) {
	t.Helper()
	before, began := starts(t, log), time.Now()
	for starts(t, log) == before && time.Since(began) < 500*time.Millisecond {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
}

func starts(t *testing.T, log string) int {
	t.Helper()
	data, err := os.ReadFile(log)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Count(string(data), "helper started")
}
