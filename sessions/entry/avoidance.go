package entry

import (
	"maps"
	"sync"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/ledger"
)

// How long and how many agents are avoided.
const (
	// suspectFor is how long an agent gets no new work after a failure. It doubles with each
	// further failure in a row.
	suspectFor = time.Second
	// maxDoublings limits this to 8 s, about the time in which an agent is replaced.
	maxDoublings = 3
	// leavingFor is how long a leaving notice counts before the ledger shows it.
	leavingFor = time.Minute
	// maxMarks is the number of marks above which expired ones are removed. It fits 1,400 workers
	// with several teams each.
	maxMarks = 10_000
)

// incarnation identifies one run of a worker's agent.
type incarnation struct{ worker, id string }

func incarnationOf(w ledger.Worker) incarnation {
	return incarnation{worker: w.Name, id: w.Incarnation}
}

// suspicion counts the failures in a row of an agent.
type suspicion struct {
	failures int
	// until is when the agent may be tried again.
	until time.Time
}

// avoidance records which agents get no new work from this entry. It is safe for concurrent use.
type avoidance struct {
	mu sync.Mutex
	// left has the agents that are leaving, with the end of leavingFor.
	left map[incarnation]time.Time
	// full has until when an agent's queue counts as full for a team.
	full map[teamAt]time.Time
	// suspects has the agents that failed and have not succeeded since.
	suspects map[incarnation]suspicion
}

// teamAt is a team at an agent.
type teamAt struct {
	agent incarnation
	team  string
}

func newAvoidance() *avoidance {
	return &avoidance{
		left:     make(map[incarnation]time.Time),
		full:     make(map[teamAt]time.Time),
		suspects: make(map[incarnation]suspicion),
	}
}

// leave records that an agent takes no new work.
func (a *avoidance) leave(agent incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	mark(a.left, agent, time.Now().Add(leavingFor))
}

// refuse records that an agent refused a request of a team. Other teams may still use the agent.
func (a *avoidance) refuse(agent incarnation, team string, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	mark(a.full, teamAt{agent: agent, team: team}, time.Now().Add(min(d, suspectFor)))
}

// fail records that an agent did not answer, or that its target did not answer in time.
func (a *avoidance) fail(agent incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.suspects[agent]
	if time.Now().Before(s.until) {
		// This request was sent before the agent became suspect, so it is no further failure.
		return
	}
	s.until = time.Now().Add(suspectFor << min(s.failures, maxDoublings))
	s.failures++
	a.suspects[agent] = s
	if len(a.suspects) > maxMarks {
		maps.DeleteFunc(a.suspects, func(_ incarnation, s suspicion) bool { return time.Since(s.until) > leavingFor })
	}
}

// succeed records that an agent's target has answered.
func (a *avoidance) succeed(agent incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.suspects, agent)
}

// usable reports whether an agent may get new work of a team, and whether it is a suspect.
// After its suspicion has ended, an agent gets one request at a time until one succeeds.
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

// mark extends the mark of key to until. It removes expired marks when there are more than
// maxMarks.
func mark[K comparable](marks map[K]time.Time, key K, until time.Time) {
	if until.After(marks[key]) {
		marks[key] = until
	}
	if len(marks) > maxMarks {
		now := time.Now()
		maps.DeleteFunc(marks, func(_ K, until time.Time) bool { return until.Before(now) })
	}
}
