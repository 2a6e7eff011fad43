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

// helper is set for the process that TestStartAgainOnce runs, which is this test's program.
const helper = "LOOPBACK_HELPER"

// TestHelper is that process: it prints that it has started, and stays for a while.
func TestHelper(t *testing.T) {
	if os.Getenv(helper) == "" {
		return
	}
	fmt.Println("helper started")
	time.Sleep(time.Second)
}

// TestStartAgainOnce: of several callers that saw a process end, one restarts it and the others
// don't.
func TestStartAgainOnce(t *testing.T) {
	log := filepath.Join(t.TempDir(), "log")
	p := &Process{
		Path: os.Args[0],
		Args: []string{"-test.run", "^TestHelper$", "-test.v"},
		Env:  []string{helper + "=1"},
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
				if err := p.StartAgain(); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		waitForStart(t, log)
	}
	<-p.Done()
	if got := starts(t, log); got != rounds+1 && got != rounds {
		// The first may have been killed before it printed.
		t.Errorf("%d starts, want %d", got, rounds+1)
	}
}

// waitForStart waits until the running process has printed that it has started, and a moment longer
// for any other.
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
