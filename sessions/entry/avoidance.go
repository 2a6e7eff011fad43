package entry

import (
	"maps"
	"sync"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/ledger"
)

// Settings of an avoidance.
const (
	// suspectFor is how long an agent that did not answer well gets no new work. It doubles
	// with each further failure.
	suspectFor = time.Second
	// maxDoublings bounds that to 8 s, about as long as an agent takes to be replaced.
	maxDoublings = 3
	// leavingFor is how long an agent's word that it leaves counts while the ledger does not
	// show it.
	leavingFor = time.Minute
	// maxMarks is how many marks are kept before those that are over are dropped: 1,400 workers
	// and some teams each.
	maxMarks = 10_000
)

// incarnation names one life of a worker's agent.
type incarnation struct{ worker, id string }

func incarnationOf(w ledger.Worker) incarnation {
	return incarnation{worker: w.Name, id: w.Incarnation}
}

// suspicion is what failures in a row say about an agent.
type suspicion struct {
	failures int
	until    time.Time
}

// avoidance knows which agents get no new work from this entry, and why. It is safe for
// concurrent use.
type avoidance struct {
	mu sync.Mutex
	// left has until when an agent's word that it leaves counts.
	left map[incarnation]time.Time
	// full has until when an agent has no room for a team.
	full map[teamAt]time.Time
	// suspects has those that failed and have not answered well since.
	suspects map[incarnation]suspicion
}

// teamAt is a team at an agent.
type teamAt struct {
	agent incarnation
	team  string
}

func newAvoidance() *avoidance {
	return &avoidance{left: make(map[incarnation]time.Time), full: make(map[teamAt]time.Time), suspects: make(map[incarnation]suspicion)}
}

// leave notes that an agent takes no new work.
func (a *avoidance) leave(agent incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	mark(a.left, agent, time.Now().Add(leavingFor))
}

// refuse notes that an agent has no room for a team for a while. It may have for others.
func (a *avoidance) refuse(agent incarnation, team string, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	mark(a.full, teamAt{agent: agent, team: team}, time.Now().Add(min(d, suspectFor)))
}

// fail notes that an agent did not answer, or that its target did not answer in time.
func (a *avoidance) fail(agent incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.suspects[agent]
	if time.Now().Before(s.until) {
		// It failed together with the one that made it suspect.
		return
	}
	s.until = time.Now().Add(suspectFor << min(s.failures, maxDoublings))
	s.failures++
	a.suspects[agent] = s
	if len(a.suspects) > maxMarks {
		maps.DeleteFunc(a.suspects, func(_ incarnation, s suspicion) bool { return time.Since(s.until) > leavingFor })
	}
}

// succeed notes that an agent's target has answered.
func (a *avoidance) succeed(agent incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.suspects, agent)
}

// usable reports whether an agent may get new work of a team, and whether it is a suspect. One
// that has been suspect and has not answered since gets one request at a time, to see whether
// it is well again.
func (a *avoidance) usable(agent incarnation, team string, inflight int) (ok, suspect bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if now.Before(a.left[agent]) || now.Before(a.full[teamAt{agent: agent, team: team}]) {
		return false, false
	}
	s, found := a.suspects[agent]
	return true, found && (now.Before(s.until) || inflight > 0)
}

// mark keeps the later of two times, and drops those that are over when there are too many.
func mark[K comparable](marks map[K]time.Time, key K, until time.Time) {
	if until.After(marks[key]) {
		marks[key] = until
	}
	if len(marks) > maxMarks {
		now := time.Now()
		maps.DeleteFunc(marks, func(_ K, until time.Time) bool { return until.Before(now) })
	}
}
