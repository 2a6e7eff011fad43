package main

import (
	"context"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
	"yarrowgrade.example/yarrowgrade/platform/standin"
)

// provoked is a running system in which a test provokes a failure.
type provoked struct {
	t       *testing.T
	logs    string
	cluster *cluster
	callers *callers
}

// provoke starts a system of two entries and three workers, and waits until it serves.
func provoke(t *testing.T) *provoked {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	p := &provoked{t: t, logs: t.TempDir()}
	c, err := newCluster(ctx, small(), 1, p.logs)
	t.Cleanup(func() {
		cancel()
		c.close()
		if t.Failed() {
			printLogs(t, p.logs)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	c.platform.Workers.FailureShare = 0
	p.cluster, p.callers = c, newCallers(c, rand.New(rand.NewPCG(1, 1)), false, nil)
	d := &day{settings: small(), cluster: c, callers: p.callers}
	if err := d.awaitService(ctx, startTimeout); err != nil {
		t.Fatal(err)
	}
	return p
}

// job returns a job of one task that works for the time.
func (p *provoked) job(id job.ID, work time.Duration) *job.Job {
	p.cluster.platform.Workers.SetWork(work)
	j := &job.Job{ID: id, Spec: "spec", Service: service, MaxAttempts: 4, Priority: 1, Steps: []job.Step{
		{Tasks: 1, Resources: job.Resources{CPU: 1000, Memory: 1000, Accelerators: 1}, Estimate: work},
	}}
	p.cluster.platform.Workers.Expect(j)
	return j
}

// submit submits a job at the first entry.
func (p *provoked) submit(j *job.Job) standin.Response {
	return p.callers.caller(0, keptKey).Submit(p.t.Context(), prefix(1), j)
}

// eventually waits until a condition holds.
func (p *provoked) eventually(what string, holds func() bool) {
	p.t.Helper()
	for began := time.Now(); time.Since(began) < startTimeout; time.Sleep(pollPause) {
		if holds() {
			return
		}
	}
	p.t.Fatalf("not within %v: %s", startTimeout, what)
}

// state returns the state of a job, as the second entry says.
func (p *provoked) state(id job.ID) string {
	state, _ := p.callers.caller(1, keptKey).State(p.t.Context(), prefix(1), id)
	return state
}

// trace runs the command that docs/OPERATIONS.md names: the lines about one ID from all logs, in
// order.
func (p *provoked) trace(id job.ID) string {
	p.t.Helper()
	files, err := filepath.Glob(filepath.Join(p.logs, "*.log"))
	if err != nil {
		p.t.Fatal(err)
	}
	args := append([]string{"trace", string(id)}, files...)
	out, err := exec.Command(filepath.Join(binaries, "yarrowgrade"), args...).CombinedOutput()
	if err != nil {
		p.t.Fatalf("%v\n%s", err, out)
	}
	return string(out)
}

// log returns the log of one process.
func (p *provoked) log(name string) string {
	p.t.Helper()
	data, err := os.ReadFile(filepath.Join(p.logs, name+".log"))
	if err != nil {
		p.t.Fatal(err)
	}
	return string(data)
}

// wantInOrder checks that the trace has lines that match the patterns, in this order.
func (p *provoked) wantInOrder(trace string, patterns ...string) {
	p.t.Helper()
	rest := trace
	for _, pattern := range patterns {
		at := regexp.MustCompile(pattern).FindStringIndex(rest)
		if at == nil {
			p.t.Errorf("the trace has no %q, or not in its place:\n%s", pattern, trace)
			return
		}
		rest = rest[at[1]:]
	}
}

// TestExplainRefused: a job that was refused while the store was down. The logs say so, and the
// entry's line before says what failed.
func TestExplainRefused(t *testing.T) {
	t.Parallel()
	p := provoke(t)
	p.cluster.platform.SetFault(jobtest.Fault{Refuse: true})
	j := p.job("00000000000000a1", time.Second)
	var answer standin.Response
	p.eventually("the job is refused", func() bool {
		answer = p.submit(j)
		return answer.Rejected()
	})
	if answer.Status != 503 {
		t.Errorf("the caller got status %d", answer.Status)
	}
	const refused = `event="job is not accepted" error="not ready; retry.*the log refused; nothing was done: status 503`
	p.wantInOrder(p.trace(j.ID), refused)
	p.eventually("the entry says that the store is away", func() bool {
		return strings.Contains(p.log("entry-0"), `event="the log does not answer"`)
	})
	p.cluster.platform.SetFault(jobtest.Fault{})
	p.eventually("and for how long it was", func() bool {
		return regexp.MustCompile(`event="the log answers again" away_ms=\d`).MatchString(p.log("entry-0"))
	})
}

// TestExplainRanAgain: a job that ended late because its worker crashed.
func TestExplainRanAgain(t *testing.T) {
	t.Parallel()
	p := provoke(t)
	j := p.job("00000000000000a2", 3*time.Second)
	if answer := p.submit(j); !answer.Accepted() {
		t.Fatalf("the job is not accepted: %+v", answer)
	}
	p.eventually("it runs", func() bool { return p.cluster.platform.Workers.Running(j.ID) == 1 })
	for _, w := range p.cluster.workers {
		if w.Runs(j.ID) {
			w.Crash(500 * time.Millisecond)
		}
	}
	p.eventually("it is completed", func() bool { return p.state(j.ID) == "completed" })
	p.wantInOrder(p.trace(j.ID), `event="job is accepted"|event="run is placed"`, `run=1`,
		`event="run is lost".*why="its life is over"|why="its life is over"`, `how=lost`, `event="run is placed"`, `run=2`, `how=done`, `event="job ended".*phase=completed|phase=completed`)
}

// TestExplainNoAnswer: a caller that got no answer, because the entry lost power while it stored
// the job. The trace shows that the job was stored and ran all the same.
func TestExplainNoAnswer(t *testing.T) {
	t.Parallel()
	p := provoke(t)
	j := p.job("00000000000000a3", time.Second)
	p.cluster.platform.SetFault(jobtest.Fault{Lost: 1})
	answers := make(chan standin.Response, 1)
	go func() { answers <- p.submit(j) }()
	time.Sleep(300 * time.Millisecond)
	p.cluster.entries[0].process.Kill()
	if answer := <-answers; answer.Status != 0 {
		t.Fatalf("the caller got status %d, want no answer", answer.Status)
	}
	p.cluster.platform.SetFault(jobtest.Fault{})
	if err := p.cluster.heal(); err != nil {
		t.Fatal(err)
	}
	p.eventually("it is completed", func() bool { return p.state(j.ID) == "completed" })
	trace := p.trace(j.ID)
	if strings.Contains(trace, "job is accepted") {
		t.Errorf("an entry says that the caller was told so:\n%s", trace)
	}
	p.wantInOrder(trace, `event="run is placed"`, `how=done`, `event="job ended"`)
	p.eventually("the entry starts again, and its log says so", func() bool {
		return strings.Count(p.log("entry-0"), `event="entry starts"`) == 2
	})
}
