package request

import (
	"context"
	"sync"
	"time"
)

// Settings of an Admission.
const (
	// firstEstimate stands for the time of service until a request has been measured.
	firstEstimate = 20 * time.Millisecond
	// estimateWeight is the share of the newest measurement in the estimate, as 1/estimateWeight.
	estimateWeight = 8
	// leavingRetry is when a caller may come back to another agent: at once, but not in a storm.
	leavingRetry = 50 * time.Millisecond
	// minRetry is the shortest time to come back after a full queue.
	minRetry = 20 * time.Millisecond
)

// RefusalError says that a request was not admitted, so that it did not run.
type RefusalError struct {
	Reason     string
	RetryAfter time.Duration
	Leaving    bool
}

// Error implements error.
func (e *RefusalError) Error() string { return e.Reason }

// waiter is a request that waits for a slot.
type waiter struct {
	team string
	// deadline is when its answer has to be back.
	deadline time.Time
	// admitted gets one value: nil for a slot, or why there is none.
	admitted chan error
}

// Admission shares the slots of one target among teams. A team gets slots in proportion to its
// share; what one leaves unused the others use. The queue is short: a request that could not be
// served before its deadline is refused at once.
type Admission struct {
	mu       sync.Mutex
	slots    int
	maxQueue int
	share    func(team string) int
	running  map[string]int
	busy     int
	queue    []*waiter
	estimate time.Duration
	leaving  bool
	idle     chan struct{}
}

// NewAdmission returns an admission for a target with the given number of slots. share gives a
// team's weight, at least 1.
func NewAdmission(slots, maxQueue int, share func(team string) int) *Admission {
	return &Admission{
		slots: slots, maxQueue: maxQueue, share: share,
		running: make(map[string]int), estimate: firstEstimate, idle: make(chan struct{}),
	}
}

// SetMaxQueue changes the bound of the queue for the requests to come.
func (a *Admission) SetMaxQueue(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.maxQueue = n
}

// Load returns the numbers of requests that run and that wait.
func (a *Admission) Load() (running, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.busy, len(a.queue)
}

// Acquire waits for a slot. Its error is a *RefusalError: the request did not get a slot, and
// never will. The caller of a nil error must call Release with the team and the time of
// service.
func (a *Admission) Acquire(ctx context.Context, team string, left time.Duration) error {
	w, err := a.enter(team, left)
	if err != nil || w == nil {
		return err
	}
	hopeless := time.NewTimer(left - a.serviceTime())
	defer hopeless.Stop()
	select {
	case err := <-w.admitted:
		if err == nil && a.tooLate(w) {
			return a.giveBack(team)
		}
		return err
	case <-hopeless.C:
		return a.abandon(w, "it can't be served before its deadline any more")
	case <-ctx.Done():
		return a.abandon(w, "its caller gave up while it waited")
	}
}

// serviceTime is how long a request takes at the target now.
func (a *Admission) serviceTime() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.estimate
}

// enter takes a slot, joins the queue, or refuses.
func (a *Admission) enter(team string, left time.Duration) (*waiter, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		return nil, &RefusalError{Reason: "the target is leaving", RetryAfter: leavingRetry, Leaving: true}
	}
	if a.busy < a.slots && len(a.queue) == 0 {
		a.grant(team)
		return nil, nil
	}
	wait := a.expectedWait(a.ahead(team))
	if wait+a.estimate > left {
		return nil, &RefusalError{Reason: "it could not be served before its deadline", RetryAfter: max(wait, minRetry)}
	}
	if len(a.queue) >= a.maxQueue && !a.displace(team) {
		return nil, &RefusalError{Reason: "the queue is full", RetryAfter: max(wait, minRetry)}
	}
	w := &waiter{team: team, deadline: time.Now().Add(left), admitted: make(chan error, 1)}
	a.queue = append(a.queue, w)
	return w, nil
}

// tooLate reports whether less time is left than a request takes. Running it would only make
// its outcome unknown.
func (a *Admission) tooLate(w *waiter) bool { return time.Until(w.deadline) < a.serviceTime() }

// giveBack frees a slot that was not used.
func (a *Admission) giveBack(team string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.free(team)
	return &RefusalError{Reason: "its slot came too late for its deadline", RetryAfter: max(a.expectedWait(len(a.queue)), minRetry)}
}

func (a *Admission) grant(team string) {
	a.busy++
	a.running[team]++
}

// expectedWait is the time until a request with the given number ahead of it gets a slot.
func (a *Admission) expectedWait(ahead int) time.Duration {
	return a.estimate * time.Duration(ahead+1) / time.Duration(max(a.slots, 1))
}

// ahead estimates how many requests are served before a new one of the team.
func (a *Admission) ahead(team string) int {
	own := 0
	for _, w := range a.queue {
		if w.team == team {
			own++
		}
	}
	return a.turn(team, own, a.sharesWaiting(team))
}

// turn estimates how many requests are served before one with the given number of its own team
// before it: those, and for each of them the others' part by share, also of those that come
// later and are served in turn. Without others only its own count.
func (a *Admission) turn(team string, own, shares int) int {
	if shares == a.share(team) {
		return own
	}
	return (own + 1) * shares / a.share(team)
}

// sharesWaiting adds up the shares of the teams that wait, and of the given one.
func (a *Admission) sharesWaiting(team string) int {
	seen := map[string]bool{team: true}
	shares := a.share(team)
	for _, w := range a.queue {
		if !seen[w.team] {
			seen[w.team] = true
			shares += a.share(w.team)
		}
	}
	return shares
}

// shed refuses those who can't be served before their deadlines any more, because requests take
// longer than they did or because another team has come for its share. Whoever is given up is
// told at once.
func (a *Admission) shed() {
	if len(a.queue) == 0 {
		return
	}
	shares, own := a.sharesWaiting(a.queue[0].team), make(map[string]int)
	kept := make([]*waiter, 0, len(a.queue))
	for _, w := range a.queue {
		wait := a.expectedWait(a.turn(w.team, own[w.team], shares))
		if wait+a.estimate > time.Until(w.deadline) {
			w.admitted <- &RefusalError{Reason: "it can't be served before its deadline any more", RetryAfter: minRetry}
			continue
		}
		own[w.team]++
		kept = append(kept, w)
	}
	a.queue = kept
}

// displace refuses the newest waiting request of the team that is furthest above its share, if
// that is another team and further above than the given one would be.
func (a *Admission) displace(team string) bool {
	waiting := make(map[string]int)
	for _, w := range a.queue {
		waiting[w.team]++
	}
	worst, most := "", float64(waiting[team]+1)/float64(a.share(team))
	for i := len(a.queue) - 1; i >= 0; i-- {
		name := a.queue[i].team
		if load := float64(waiting[name]) / float64(a.share(name)); name != team && load > most {
			worst, most = name, load
		}
	}
	if worst == "" {
		return false
	}
	for i := len(a.queue) - 1; i >= 0; i-- {
		if a.queue[i].team == worst {
			a.queue[i].admitted <- &RefusalError{Reason: "the queue is full", RetryAfter: max(a.expectedWait(len(a.queue)), minRetry)}
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			return true
		}
	}
	return false
}

// abandon takes a waiter out of the queue. If it was granted a slot meanwhile, the slot goes on
// to another.
func (a *Admission) abandon(w *waiter, reason string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, other := range a.queue {
		if other == w {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			a.signalIdle()
			return &RefusalError{Reason: reason, RetryAfter: max(a.expectedWait(len(a.queue)), minRetry)}
		}
	}
	if err := <-w.admitted; err != nil {
		return err
	}
	a.free(w.team)
	return &RefusalError{Reason: reason, RetryAfter: max(a.expectedWait(len(a.queue)), minRetry)}
}

// Release gives a slot back after the given time of service.
func (a *Admission) Release(team string, served time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.estimate += (served - a.estimate) / estimateWeight
	a.free(team)
}

func (a *Admission) free(team string) {
	a.busy--
	a.running[team]--
	if a.running[team] == 0 {
		delete(a.running, team)
	}
	if i := a.next(); i >= 0 {
		w := a.queue[i]
		a.queue = append(a.queue[:i], a.queue[i+1:]...)
		a.grant(w.team)
		w.admitted <- nil
	}
	a.shed()
	a.signalIdle()
}

// next returns the oldest waiter of the team that uses the least of its share, or -1.
func (a *Admission) next() int {
	found, least := -1, 0.0
	for i, w := range a.queue {
		used := float64(a.running[w.team]) / float64(a.share(w.team))
		if found < 0 || used < least {
			found, least = i, used
		}
	}
	return found
}

// Leave refuses all requests to come. Those that run or wait are finished.
func (a *Admission) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	a.signalIdle()
}

// Idle is closed once it is leaving and nothing runs or waits.
func (a *Admission) Idle() <-chan struct{} { return a.idle }

func (a *Admission) signalIdle() {
	if !a.leaving || a.busy > 0 || len(a.queue) > 0 {
		return
	}
	select {
	case <-a.idle:
	default:
		close(a.idle)
	}
}
