package main

import (
	"strings"
	"testing"
)

// TestLosses checks that lost work counts under its cause and for the urgent job that caused it,
// and that lines of other programs are skipped.
func TestLosses(t *testing.T) {
	const log = `built in 0.1 s
  1.0 entry-1 time=2026-05-04T10:00:00Z level=info event="run is placed" task=aa.0.0.0 run=1 priority=1 worker=w1
time=2026-05-04T10:00:01Z level=info event="run is placed" task=ab.0.0.0 run=1 priority=1 worker=w2
time=2026-05-04T10:00:02Z level=info event="run is to stop" task=aa.0.0.0 run=1 why="it yields to cc.0.0.0"
time=2026-05-04T10:00:02.3Z level=info event="run ended" task=aa.0.0.0 run=1 how=stopped step=runner.list
time=2026-05-04T10:00:02.3Z level=info event="run ended" task=aa.0.0.0 run=1 how=stopped cause=yielded lost_core_s=120.5 step=dispatch.end
time=2026-05-04T10:00:02.4Z level=info event="run is placed" task=cc.0.0.0 run=1 priority=0 worker=w1
time=2026-05-04T10:00:02.5Z level=info event="run is placed" task=dd.0.0.0 run=1 priority=0 worker=w3
time=2026-05-04T10:00:03Z level=info event="run ended" task=ab.0.0.0 run=1 how=lost cause=worker_lost lost_core_s=30
time=2026-05-04T10:00:05Z level=info event="run ended" task=cc.0.0.0 run=1 how=done cause=none lost_core_s=0
time=2026-05-04T10:00:05Z level=info event="job ended" job=cc phase=completed due=2026-05-04T10:00:04Z
time=2026-05-04T10:00:05Z level=info event="job ended" job=dd phase=completed due=2026-05-04T10:00:06Z
`
	a := newLossCounter()
	if err := a.read(strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	r := a.report()
	yielded, workerLost := *r.Causes["yielded"], *r.Causes["worker_lost"]
	if r.Starts != 4 || yielded != (causeTotal{Runs: 1, Lost: 120.5}) || workerLost != (causeTotal{Runs: 1, Lost: 30}) {
		t.Errorf("got %d starts and the losses %+v and %+v", r.Starts, yielded, workerLost)
	}
	found, stopping := r.Urgent[0], r.Urgent[1]
	if found != (urgentTotal{Jobs: 1, InTime: 1}) {
		t.Errorf("urgent jobs without stopped runs: %+v", found)
	}
	want := urgentTotal{Stopping: true, Jobs: 1, Late: 1, Victims: 1, Lost: 120.5, LostForLate: 120.5}
	if stopping != want {
		t.Errorf("urgent jobs with stopped runs: %+v", stopping)
	}
	if r.Stopped[1] != 1 {
		t.Errorf("tasks by number of stops: %v", r.Stopped)
	}
	const bad = "time=2026-05-04T10:00:00Z event=\"run ended\" run=one\n"
	err := newLossCounter().read(strings.NewReader(bad))
	if err == nil || !strings.Contains(err.Error(), "run: ") {
		t.Errorf("run number that is not a number: got %v, want an error that names the field", err)
	}
}
