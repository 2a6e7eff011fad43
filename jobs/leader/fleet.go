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

// fleet holds the latest poll, the desired state and the lease of each worker. It connects the
// handlers of polls with the leading goroutine.
//
// A poll passes through it as follows: receive stores it as the worker's latest poll, and take
// passes it to the leading goroutine. Once the resulting decision is stored in the topic, publish
// acknowledges the poll, and held polls are answered with the new desired state.
type fleet struct {
	timing Timing
	clock  suspend.Clock
	// cordons returns the cordoned zones, and the time at which the list was known to be complete.
	cordons func() (catalog.Cordons, time.Time)
	logger  zerolog.Logger
	// answers counts the answers computed, including those not sent because the poll was held
	// further.
	answers tally.Counter
	// decisionDue holds a value while a poll requires a decision.
	decisionDue chan struct{}

	mu sync.Mutex
	// term is the term in which this entry leads, or zero if it does not lead.
	term int64
	// fences counts the fences issued in the term.
	fences int64
	// sent holds the starts included in answers since the last call of takeSent.
	sent map[assignment.RunID]bool
	// proof is when the latest acknowledged append of the term was sent.
	proof suspend.Instant
	// published is set once a decision of the term has been published.
	published bool
	lastPoll  time.Time
	workers   map[string]*worker
	// deciding holds the workers with a poll or expired lease that was taken, but whose decision is
	// not published yet.
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

// open resets the fleet for a new term.
func (f *fleet) open(term int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.term, f.fences, f.proof = term, 0, suspend.Instant{}
	f.published, f.lastPoll = false, time.Now()
	f.workers, f.deciding = map[string]*worker{}, map[*worker]bool{}
	f.sent = map[assignment.RunID]bool{}
}

// close ends the term. Subsequent polls are redirected.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wakeAll()
	f.term, f.workers, f.deciding = 0, nil, nil
}

// wakeAll causes all held polls to be evaluated again. f.mu must be held.
func (f *fleet) wakeAll() {
	for _, w := range f.workers {
		w.wake()
	}
}

// workerOf returns the worker with the given name, and adds it if it is unknown. f.mu must be held.
func (f *fleet) workerOf(name string) *worker {
	w := f.workers[name]
	if w == nil {
		w = newWorker()
		f.workers[name] = w
	}
	return w
}

// silence returns the time since any agent last polled.
func (f *fleet) silence(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.lastPoll)
}

// timedPoll is a poll with the time of its arrival.
type timedPoll struct {
	poll assignment.Poll
	at   time.Time
}

// take returns the latest poll of each worker from which one has arrived since the last call.
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

// takeSent returns the starts included in answers since the last call. If it is called after take
// or expire, the result includes every start that may have been sent before the polls were taken or
// the leases expired.
func (f *fleet) takeSent() map[assignment.RunID]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	sent := f.sent
	f.sent = map[assignment.RunID]bool{}
	return sent
}

// publish acknowledges the polls that were taken and applies the changed desired states. The
// decision must already be stored. It wakes only the held polls of affected workers: waking all of
// them on each decision would cost time quadratic in the number of workers.
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
