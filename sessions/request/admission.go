package request

import (
	"context"
	"sync"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fairshare"
)

const (
	// initialEstimate is the assumed service time before the first measurement.
	initialEstimate = 20 * time.Millisecond
	// Each measurement moves the estimate of the service time by 1/estimateWeight.
	estimateWeight = 8
	// leavingRetry is the Retry-After of a leaving target. It is short because other targets can
	// serve the request.
	leavingRetry = 50 * time.Millisecond
	// minRetry is the shortest Retry-After of a refusal.
	minRetry = 20 * time.Millisecond
)

// RefusalError means that a request was not admitted and did not run.
type RefusalError struct {
	Reason     string
	RetryAfter time.Duration
	Leaving    bool
}

// Error implements error.
func (e *RefusalError) Error() string { return e.Reason }

// waiter is a queued request.
type waiter struct {
	team string
	// deadline is the time when the answer is due.
	deadline time.Time
	// admitted receives exactly one value: nil if a slot is granted, otherwise a *RefusalError.
	admitted chan error
}

// Admission divides the slots of a target among teams in proportion to their shares. Slots that a
// team does not use are available to the other teams. A request that cannot be served before its
// deadline is refused at once instead of being queued.
type Admission struct {
	mu       sync.Mutex
	slots    int
	maxQueue int
	share    func(team string) int
	// running counts the slots in use by each team. busy is their total.
	running map[string]int
	busy    int
	// queue lists the waiters, oldest first.
	queue []*waiter
	// estimate is a moving average of the service time.
	estimate time.Duration
	leaving  bool
	idle     chan struct{}
}

// NewAdmission returns the admission of a target with the given number of slots and the given
// maximum queue length. share returns the weight of a team, which is at least 1.
func NewAdmission(slots, maxQueue int, share func(team string) int) *Admission {
	return &Admission{
		slots:    slots,
		maxQueue: maxQueue,
		share:    share,
		running:  make(map[string]int),
		estimate: initialEstimate,
		idle:     make(chan struct{}),
	}
}

// SetMaxQueue changes the maximum queue length. Requests that are already queued remain in the
// queue.
func (a *Admission) SetMaxQueue(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.maxQueue = n
}

// Load returns the numbers of running and queued requests.
func (a *Admission) Load() (running, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.busy, len(a.queue)
}

// Acquire waits for a slot. left is the time until the deadline of the request. If the error is
// nil, the caller must call Release afterwards. Any error is a *RefusalError.
func (a *Admission) Acquire(ctx context.Context, team string, left time.Duration) error {
	w, err := a.admitOrQueue(team, left)
	if err != nil || w == nil {
		return err
	}
	tooLate := time.NewTimer(left - a.serviceTime())
	defer tooLate.Stop()
	select {
	case err := <-w.admitted:
		if err == nil && a.tooLate(w) {
			return a.returnSlot(team)
		}
		return err
	case <-tooLate.C:
		return a.abandon(w, "it can't be served before its deadline any more")
	case <-ctx.Done():
		return a.abandon(w, "its caller gave up while it waited")
	}
}

// serviceTime returns the current estimate of the time that the target takes for a request.
func (a *Admission) serviceTime() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.estimate
}

// admitOrQueue takes a slot, adds the request to the queue, or refuses it. The waiter is nil if a
// slot was free.
func (a *Admission) admitOrQueue(team string, left time.Duration) (*waiter, error) {
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

// tooLate reports whether the remaining time is shorter than the service time. The request would
// time out, and its outcome would be Unknown instead of NotRun.
func (a *Admission) tooLate(w *waiter) bool { return time.Until(w.deadline) < a.serviceTime() }

// returnSlot releases an unused slot and returns a refusal.
func (a *Admission) returnSlot(team string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.free(team)
	return a.refuse("its slot came too late for its deadline")
}

// refuse returns a refusal that asks the caller to retry when the queue is expected to be empty.
// The caller must hold a.mu.
func (a *Admission) refuse(reason string) *RefusalError {
	return &RefusalError{Reason: reason, RetryAfter: max(a.expectedWait(len(a.queue)), minRetry)}
}

func (a *Admission) grant(team string) {
	a.busy++
	a.running[team]++
}

// expectedWait returns the expected time until a request with the given number of requests ahead of
// it gets a slot.
func (a *Admission) expectedWait(ahead int) time.Duration {
	return a.estimate * time.Duration(ahead+1) / time.Duration(max(a.slots, 1))
}

// ahead estimates the number of requests that are served before a new request of the team.
func (a *Admission) ahead(team string) int {
	own := 0
	for _, w := range a.queue {
		if w.team == team {
			own++
		}
	}
	return a.requestsBefore(team, own, a.sharesWaiting(team))
}

// requestsBefore estimates the number of requests that are served before a request that has own
// requests of its team ahead of it. For each of its team's requests, requests of the other waiting
// teams are served in proportion to the shares. If no other team waits, only requests of its own
// team count. Unlike fairshare.Backlog.Wait it counts whole requests, and assumes that the other
// teams continue to send requests, so it is not bounded by what they have in the queue.
func (a *Admission) requestsBefore(team string, own, shares int) int {
	if shares == a.share(team) {
		return own
	}
	return (own + 1) * shares / a.share(team)
}

// sharesWaiting returns the total share of the given team and of all teams with waiting requests.
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

// shed refuses queued requests that can no longer be served before their deadlines, because the
// target has become slower or another team has claimed its share.
func (a *Admission) shed() {
	if len(a.queue) == 0 {
		return
	}
	shares, own := a.sharesWaiting(a.queue[0].team), make(map[string]int)
	kept := make([]*waiter, 0, len(a.queue))
	for _, w := range a.queue {
		wait := a.expectedWait(a.requestsBefore(w.team, own[w.team], shares))
		if wait+a.estimate > time.Until(w.deadline) {
			w.admitted <- &RefusalError{Reason: "it can't be served before its deadline any more", RetryAfter: minRetry}
			continue
		}
		own[w.team]++
		kept = append(kept, w)
	}
	a.queue = kept
}

// displace makes room in a full queue for a request of the given team. It refuses the newest
// request of the team with the most queued requests per share. It reports false if the given team
// would itself have at least as many.
func (a *Admission) displace(team string) bool {
	waiting := make(map[string]int)
	for _, w := range a.queue {
		waiting[w.team]++
	}
	load := a.perShare(waiting).With(team, 1)
	worst, most := "", load.Of(team)
	for i := len(a.queue) - 1; i >= 0; i-- {
		if name := a.queue[i].team; name != team && load.Of(name) > most {
			worst, most = name, load.Of(name)
		}
	}
	if worst == "" {
		return false
	}
	for i := len(a.queue) - 1; i >= 0; i-- {
		if a.queue[i].team == worst {
			a.queue[i].admitted <- a.refuse("the queue is full")
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			return true
		}
	}
	return false
}

// abandon removes a waiter from the queue and returns a refusal. If the waiter was granted a slot
// in the meantime, the slot is released.
func (a *Admission) abandon(w *waiter, reason string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, other := range a.queue {
		if other == w {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			a.signalIdle()
			return a.refuse(reason)
		}
	}
	if err := <-w.admitted; err != nil {
		return err
	}
	a.free(w.team)
	return a.refuse(reason)
}

// Release releases a slot. served is the time for which the slot was used.
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

// next returns the index of the oldest waiter of the team that uses the smallest part of its share.
// It returns -1 if the queue is empty.
func (a *Admission) next() int {
	if len(a.queue) == 0 {
		return -1
	}
	used, found := a.perShare(a.running), 0
	for i, w := range a.queue {
		if used.Compare(w.team, a.queue[found].team) < 0 {
			found = i
		}
	}
	return found
}

// perShare returns numbers of requests by team, to be compared by the teams' shares.
func (a *Admission) perShare(requests map[string]int) fairshare.Usage[string] {
	usage := fairshare.NewUsage(func(team string) float64 { return float64(a.share(team)) })
	return usage.WithAll(func(yield func(string, float64) bool) {
		for team, n := range requests {
			if !yield(team, float64(n)) {
				return
			}
		}
	})
}

// Leave makes Acquire refuse all new requests. Running and queued requests are still served.
func (a *Admission) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	a.signalIdle()
}

// Idle returns a channel that is closed after Leave, once no request is running or queued.
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
