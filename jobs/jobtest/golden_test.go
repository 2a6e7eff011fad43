package jobtest_test

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/internal/goldentest"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// lineBuffer collects the log lines of all processes.
type lineBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// Write implements io.Writer.
func (b *lineBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(line)
}

// fields returns the names of the fields that occur in the log lines of each step and event.
func (b *lineBuffer) fields(t *testing.T) map[string][]string {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	found := make(map[string][]string)
	for _, line := range bytes.Split(bytes.TrimSpace(b.lines.Bytes()), []byte("\n")) {
		var values map[string]any
		if err := json.Unmarshal(line, &values); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		step, _ := values["step"].(string)
		event, _ := values["message"].(string)
		name := step + ": " + event
		for field := range values {
			if !slices.Contains(found[name], field) {
				found[name] = append(found[name], field)
			}
		}
		slices.Sort(found[name])
	}
	return found
}

// TestGoldenLogLines compares the fields of the log lines of the leader and the agents that the
// command-line tool reads. A job that is preempted for an urgent one and ends later produces all of
// them.
func TestGoldenLogLines(t *testing.T) {
	var logs lineBuffer
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		logger := zerolog.New(&logs).With().Timestamp().Logger()
		s := newSystem(ctx, t, 1, systemOptions{logger: &logger})
		defer func() {
			cancel()
			time.Sleep(30 * time.Second)
		}()
		s.workers.FailureShare = 0
		time.Sleep(3 * time.Second)
		s.workers.SetWork(20 * time.Second)
		wide := s.wideJob(1, 20*time.Second)
		s.submit(wide, 1)
		// The work lost so far is worth less than the urgent job, so the wide job is preempted.
		time.Sleep(500 * time.Millisecond)
		s.workers.SetWork(time.Second)
		urgent := s.wideJob(0, time.Second)
		s.submit(urgent, 0)
		s.awaitCompleted(urgent.ID, 30*time.Second)
		s.awaitCompleted(wide.ID, 2*time.Minute)
		time.Sleep(2 * time.Second)
	})
	lines := make(map[string][]string)
	for name, fields := range logs.fields(t) {
		_, event, _ := strings.Cut(name, ": ")
		if slices.Contains([]string{"run is placed", "run is to stop", "run ended", "job ended"}, event) {
			lines[name] = fields
		}
	}
	goldentest.JSON(t, "log-fields", lines)
	if !strings.Contains(logs.lines.String(), `"why":"it yields to `) {
		t.Error("no line names the task for which a run is stopped")
	}
}

// wideJob returns a job that takes all accelerators of all workers.
func (s *system) wideJob(priority int, length time.Duration) *job.Job {
	j := s.simpleJob(workerCount, length)
	j.Priority, j.Steps[0].Resources.Accelerators = priority, 8
	return j
}
