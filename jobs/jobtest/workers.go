package jobtest

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// tick is how often the workers' state advances.
const tick = 20 * time.Millisecond

// Workers are all workers of a test. They check the rules for what they are told to do against what
// they know of each other, and record what breaks one. One mutex guards them all; the exported
// fields must be set before Run.
type Workers struct {
	// FailureShare is the share of runs that fail by themselves.
	FailureShare float64
	// SameIDShare is the share of restarts after which a worker reports the ID that it had before.
	SameIDShare float64
	// NoStartTimes lets workers not report when they started. Then every incarnation has a new ID.
	NoStartTimes bool
	// Work is how long each task works. Zero draws a time from the task's name.
	Work time.Duration
	// Logger gets what the agents can't see: new incarnations, and orders that come late.
	Logger zerolog.Logger
	// Violations lists the rules that were broken, and Starts counts the runs that were started.
	Violations []string
	Starts     int
	// Strays counts the starts that would break a rule but were sent to an earlier incarnation
	// under the same ID and carried out late: until a higher fence arrives, the worker can't know
	// that they are void.
	Strays int

	mu      sync.Mutex
	random  *rand.Rand
	started time.Time
	jobs    map[job.ID]*job.Job
	workers map[string]*Worker
	// done holds the tasks that succeeded, acked those whose success the leader has acknowledged.
	done  map[job.TaskName]bool
	acked map[job.TaskName]bool
	// failures holds the failed runs of each task that the leader has acknowledged.
	failures map[job.TaskName]map[int]bool
	// everStarted holds the jobs of which anything was ever started.
	everStarted map[job.ID]bool
	// lastEnd is when a run of each job last ended.
	lastEnd map[job.ID]time.Time
	// cordoned is when operators were told that an availability zone is cordoned, while it is.
	cordoned map[string]time.Time
	// startsIn counts the runs that were started in each availability zone.
	startsIn map[string]int
	// crashers are the tasks that crash the workers that start them; crashes counts the crashes of
	// workers by task.
	crashers map[job.TaskName]crasher
	crashes  map[job.TaskName]*crashes
}

// NewWorkers returns an empty set of workers. The seed draws failures and the IDs of incarnations.
func NewWorkers(seed uint64) *Workers {
	return &Workers{
		Logger:      zerolog.Nop(),
		random:      rand.New(rand.NewPCG(seed, 1)),
		started:     time.Now(),
		jobs:        map[job.ID]*job.Job{},
		workers:     map[string]*Worker{},
		done:        map[job.TaskName]bool{},
		acked:       map[job.TaskName]bool{},
		failures:    map[job.TaskName]map[int]bool{},
		everStarted: map[job.ID]bool{},
		lastEnd:     map[job.ID]time.Time{},
		cordoned:    map[string]time.Time{},
		startsIn:    map[string]int{},
		crashers:    map[job.TaskName]crasher{},
		crashes:     map[job.TaskName]*crashes{},
	}
}

// SetWork sets how long tasks work that start from now on.
func (ws *Workers) SetWork(work time.Duration) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.Work = work
}

// Expect adds a job that is about to be submitted.
func (ws *Workers) Expect(j *job.Job) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.jobs[j.ID] = j
}

// Add adds a worker and starts its first incarnation.
func (ws *Workers) Add(name, service, zone, rack string, capacity job.Resources, labels ...string) *Worker {
	w := &Worker{all: ws, name: name}
	w.state = assignment.WorkerState{
		Service:  service,
		Zone:     zone,
		Rack:     rack,
		Labels:   append(labels, rack),
		Capacity: capacity,
	}
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.workers[name] = w
	w.startIncarnation()
	return w
}

// Run lets all workers work until ctx ends.
func (ws *Workers) Run(ctx context.Context) {
	for sleep(ctx, tick) == nil {
		ws.mu.Lock()
		for _, w := range ws.workers {
			w.advance(time.Now())
		}
		ws.mu.Unlock()
	}
}

// members returns the running members of the gang of a run.
func (ws *Workers) members(id assignment.RunID) []member {
	var found []member
	for _, w := range ws.workers {
		for _, r := range w.runs {
			if sameStep(r.id.Task, id.Task) && r.id.Run == id.Run {
				found = append(found, member{worker: w, run: r})
			}
		}
	}
	return found
}

func (ws *Workers) stepOf(name job.TaskName) job.Step { return ws.jobs[name.Job].Steps[name.Step] }

// sameStep reports whether two tasks are of the same step, in the same round.
func sameStep(a, b job.TaskName) bool {
	return a.Job == b.Job && a.Round == b.Round && a.Step == b.Step
}
