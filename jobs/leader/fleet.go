package leader

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/internal/suspend"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch"
)

// fleet holds, for each worker, what its agent said last, what the agent is to do, and its lease.
// It stands between the polls' handlers and the leading goroutine.
//
// A poll's way through it: receive keeps it as the worker's newest; take hands it to the leading
// goroutine; once what follows from it is stored, publish acknowledges it and has held polls
// answered by what is desired then.
type fleet struct {
	timing Timing
	clock  suspend.Clock
	// cordons returns the cordoned zones, and when it was known that there are no others.
	cordons func() (catalog.Cordons, time.Time)
	logger  zerolog.Logger
	// answers counts answers, also those not sent because the poll was held on.
	answers tally.Counter
	// decisionDue has a value when a poll needs a decision.
	decisionDue chan struct{}

	mu sync.Mutex
	// term is the one in which this entry leads; zero if it does not lead.
	term int64
	// fences counts those given out in the term.
	fences int64
	// sent are the starts that answers have carried since takeSent was last called.
	sent map[assignment.RunID]bool
	// proof is when the newest acknowledged append of the term was sent.
	proof suspend.Instant
	// published says that a decision of the term has been published.
	published bool
	lastPoll  time.Time
	workers   map[string]*worker
	// deciding are the workers with a poll or expired lease that was taken and is not published
	// yet.
	deciding map[*worker]bool
}

func newFleet(
	timing Timing, clock suspend.Clock, cordons func() (catalog.Cordons, time.Time), answers tally.Counter,
	logger zerolog.Logger,
) *fleet {
	return &fleet{
		timing:      timing,
		clock:       clock,
		cordons:     cordons,
		answers:     answers,
		logger:      logger,
		decisionDue: make(chan struct{}, 1),
	}
}

// open begins a term.
func (f *fleet) open(term int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.term, f.fences, f.proof = term, 0, suspend.Instant{}
	f.published, f.lastPoll = false, time.Now()
	f.workers, f.deciding = map[string]*worker{}, map[*worker]bool{}
	f.sent = map[assignment.RunID]bool{}
}

// close ends the term: polls are redirected from now on.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wakeAll()
	f.term, f.workers, f.deciding = 0, nil, nil
}

// wakeAll has all held polls answered again. f.mu must be held.
func (f *fleet) wakeAll() {
	for _, w := range f.workers {
		w.wake()
	}
}

// workerOf returns the worker of a name, a new one if it has not been seen. f.mu must be held.
func (f *fleet) workerOf(name string) *worker {
	w := f.workers[name]
	if w == nil {
		w = newWorker()
		f.workers[name] = w
	}
	return w
}

// silence is how long no agent has polled.
func (f *fleet) silence(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.lastPoll)
}

type timedPoll struct {
	poll assignment.Poll
	at   time.Time
}

// take returns the polls that have arrived since the last call, the newest of each worker.
func (f *fleet) take() map[string]timedPoll {
	f.mu.Lock()
	defer f.mu.Unlock()
	polls := map[string]timedPoll{}
	for name, w := range f.workers {
		if !w.pending {
			continue
		}
		polls[name] = timedPoll{poll: w.reports.newest, at: w.reports.arrived}
		w.pending, w.reports.taken = false, w.reports.newest.Sequence
		f.deciding[w] = true
	}
	return polls
}

// takeSent returns the starts that answers have carried since the last call. Called after take or
// expire it has all that may have been sent before what these return.
func (f *fleet) takeSent() map[assignment.RunID]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	sent := f.sent
	f.sent = map[assignment.RunID]bool{}
	return sent
}

// publish acknowledges the polls that were taken and puts in force what is desired now; all of
// it must be stored. It wakes only the held polls that this concerns: waking all at each decision
// would be work that grows with the square of the workers.
func (f *fleet) publish(changed map[string]dispatch.DesiredState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for w := range f.deciding {
		w.reports.acked = w.reports.taken
		if w.expired {
			w.expired = false
			w.wake()
		}
	}
	clear(f.deciding)
	for name, desired := range changed {
		w := f.workerOf(name)
		w.desired = desired
		w.wake()
	}
	if !f.published {
		f.published = true
		f.wakeAll()
	}
}
