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

// tick is the interval at which the workers' state advances.
const tick = 20 * time.Millisecond

// DefaultListedEnds is the maximum number of ends in a list of a worker on the users' platform.
const DefaultListedEnds = 500

// Workers is the set of all workers of a test. It checks the orders that the workers receive
// against the state of all of them, and records violations of the rules. One mutex guards all
// workers; the exported fields must be set before Run.
type Workers struct {
	// FailureShare is the share of runs that fail on their own.
	FailureShare float64
	// SameIDShare is the share of restarts after which a worker reports its previous ID.
	SameIDShare float64
	// NoStartTimes makes workers omit their start times. Every incarnation then has a new ID.
	NoStartTimes bool
	// ListedEnds is the maximum number of ends in a list. A worker that has more lists those with the
	// lowest numbers.
	ListedEnds int
	// Work is the duration of each task. If it is zero, the durations are 1 to 2.9 s; see workOf.
	Work time.Duration
	// Logger receives events that agents cannot observe, such as new incarnations and late orders.
	Logger zerolog.Logger
	// Violations lists the violations of rules, and Starts counts the runs that were started.
	Violations []string
	Starts     int
	// ListsOmittingEnds counts the lists that omitted ends.
	ListsOmittingEnds int
	// StaleStarts counts the starts that would violate a rule but were sent to an earlier
	// incarnation under the same ID and executed late. Until a higher fence arrives, the worker
	// cannot know that they are void.
	StaleStarts int

	mu      sync.Mutex
	random  *rand.Rand
	started time.Time
	jobs    map[job.ID]*job.Job
	workers map[string]*Worker
	// done holds the tasks that succeeded, and acked those whose success the leader has
	// acknowledged.
	done  map[job.TaskName]bool
	acked map[job.TaskName]bool
	// failures holds the failed runs of each task that the leader has acknowledged.
	failures map[job.TaskName]map[int]bool
	// everStarted holds the jobs with a task that was ever started.
	everStarted map[job.ID]bool
	// lastEnd holds the time at which a run of each job last ended.
	lastEnd map[job.ID]time.Time
	// cancelled holds the times at which the cancels of jobs were acknowledged.
	cancelled map[job.ID]time.Time
	// cordoned holds the cordoned availability zones and the times at which their cordons were
	// acknowledged.
	cordoned map[string]time.Time
	// startsIn counts the runs that were started in each availability zone.
	startsIn map[string]int
	// crashers holds the tasks that crash the workers that start them; crashes counts the worker
	// crashes of each task.
	crashers map[job.TaskName]crasher
	crashes  map[job.TaskName]*crashes
}

// NewWorkers returns an empty set of workers. The seed determines failures and the IDs of
// incarnations.
func NewWorkers(seed uint64) *Workers {
	return &Workers{
		ListedEnds:  DefaultListedEnds,
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
		cancelled:   map[job.ID]time.Time{},
		cordoned:    map[string]time.Time{},
		startsIn:    map[string]int{},
		crashers:    map[job.TaskName]crasher{},
		crashes:     map[job.TaskName]*crashes{},
	}
}

// SetWork sets the duration of tasks that start from now on.
func (ws *Workers) SetWork(work time.Duration) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.Work = work
}

// Expect registers a job that is about to be submitted.
func (ws *Workers) Expect(j *job.Job) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.jobs[j.ID] = j
}

// Add adds a worker and starts its first incarnation.
func (ws *Workers) Add(name, service, zone, rack string, capacity job.Resources, labels ...string) *Worker {
	w := &Worker{workers: ws, name: name}
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

// Run advances all workers until ctx ends.
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

// sameStep reports whether two tasks belong to the same step and round of a job.
func sameStep(a, b job.TaskName) bool {
	return a.Job == b.Job && a.Round == b.Round && a.Step == b.Step
}
