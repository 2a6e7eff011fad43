package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// recorder writes the record of a case, and keeps what workers started and ended.
type recorder struct {
	// longLists counts the lists that left out ends because a list has at most endsPerList.
	longLists atomic.Int64

	mu     sync.Mutex
	file   *os.File
	out    *bufio.Writer
	began  time.Time
	starts []started
	dones  map[string][]*done
	// done counts the tasks of each job that have ended "done".
	done map[string]int
}

// started is a start that a worker carried out.
type started struct {
	worker, task string
	run          int
	at           time.Time
}

// done is an end "done", and whether it has been taken note of.
type done struct {
	run   int
	at    time.Time
	noted bool
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, out: bufio.NewWriter(f), began: time.Now(), dones: map[string][]*done{}, done: map[string]int{}}, nil
}

func (r *recorder) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

// line writes a line with the seconds since the case began. The lock must be held.
func (r *recorder) line(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

func (r *recorder) start(w *worker, task string, run int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, started{worker: w.name, task: task, run: run, at: time.Now()})
	r.line("start %s run %d on %s", task, run, w.name)
}

func (r *recorder) end(w *worker, e end) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("end %s run %d on %s: %s (number %d)", e.task, e.run, w.name, e.how, e.number)
	if e.how == "done" {
		if len(r.dones[e.task]) == 0 {
			r.done[jobOf(e.task)]++
		}
		r.dones[e.task] = append(r.dones[e.task], &done{run: e.run, at: e.at})
	}
}

func (r *recorder) noted(e end) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("noted %s run %d: %s (number %d)", e.task, e.run, e.how, e.number)
	for _, d := range r.dones[e.task] {
		if d.run == e.run {
			d.noted = true
		}
	}
}

// startedTwice returns a line for each start that follows a run of the same task that had ended
// "done", if that end was taken note of at any time.
func (r *recorder) startedTwice() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []string
	for _, s := range r.starts {
		for _, d := range r.dones[s.task] {
			if d.noted && d.run < s.run && d.at.Before(s.at) {
				found = append(found, fmt.Sprintf(
					"%s: run %d ended done at %.3f, and run %d started at %.3f on %s", s.task, d.run,
					d.at.Sub(r.began).Seconds(), s.run, s.at.Sub(r.began).Seconds(), s.worker))
			}
		}
	}
	return found
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}

// doneTasks counts the tasks of a job that have ended "done".
func (r *recorder) doneTasks(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done[id]
}

// startedAfter returns a line for each start of a cancelled job that came later than a time after the
// cancel was acknowledged.
func (r *recorder) startedAfter(acked map[string]time.Time, limit time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []string
	for _, s := range r.starts {
		at, cancelled := acked[jobOf(s.task)]
		if late := s.at.Sub(at); cancelled && late > limit {
			found = append(found, fmt.Sprintf("%s run %d starts on %s %d ms after the cancel of its job was acknowledged",
				s.task, s.run, s.worker, late.Milliseconds()))
		}
	}
	return found
}
