package entry

import (
	"maps"
	"sync"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/ledger"
)

// Limits of the time for which agents are avoided, and of their number.
const (
	// suspectFor is how long an agent gets no new work after a failure. It doubles with each
	// consecutive failure.
	suspectFor = time.Second
	// maxDoublings caps the doubled suspectFor at 8 s, which is about as long as replacing an agent
	// takes.
	maxDoublings = 3
	// leavingFor is how long a leaving notice stays in effect. It covers the time until the ledger
	// shows that the agent is leaving.
	leavingFor = time.Minute
	// maxMarks is the number of marks above which expired ones are removed. It leaves room for
	// 1,400 workers with several teams each.
	maxMarks = 10_000
)

// incarnation identifies one run of a worker's agent.
type incarnation struct{ worker, id string }

func incarnationOf(w ledger.Worker) incarnation {
	return incarnation{worker: w.Name, id: w.Incarnation}
}

// suspicion counts the consecutive failures of an agent.
type suspicion struct {
	failures int
	// until is when the agent may be tried again.
	until time.Time
}

// avoidance records which agents get no new work from this entry. It is safe for concurrent use.
type avoidance struct {
	mu sync.Mutex
	// leavingUntil holds the agents that are leaving, each with the end of its leavingFor.
	leavingUntil map[incarnation]time.Time
	// fullUntil holds the time until which an agent's queue counts as full for a team.
	fullUntil map[agentTeam]time.Time
	// suspects holds the agents that have not succeeded since their last failure.
	suspects map[incarnation]suspicion
}

// agentTeam is a pair of an agent and a team.
type agentTeam struct {
	agent incarnation
	team  string
}

func newAvoidance() *avoidance {
	return &avoidance{
		leavingUntil: make(map[incarnation]time.Time),
		fullUntil:    make(map[agentTeam]time.Time),
		suspects:     make(map[incarnation]suspicion),
	}
}

// markLeaving records that an agent takes no new work.
func (a *avoidance) markLeaving(agent incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	extendMark(a.leavingUntil, agent, time.Now().Add(leavingFor))
}

// markFull records that an agent refused a request of a team. Requests of other teams may still go
// to the agent.
func (a *avoidance) markFull(agent incarnation, team string, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	extendMark(a.fullUntil, agentTeam{agent: agent, team: team}, time.Now().Add(min(d, suspectFor)))
}

// recordFailure records that an agent did not answer, or that its target did not answer in time.
func (a *avoidance) recordFailure(agent incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.suspects[agent]
	if time.Now().Before(s.until) {
		// The request was sent before the agent became a suspect, so it does not count as another
		// failure.
		return
	}
	s.until = time.Now().Add(suspectFor << min(s.failures, maxDoublings))
	s.failures++
	a.suspects[agent] = s
	if len(a.suspects) > maxMarks {
		maps.DeleteFunc(a.suspects, func(_ incarnation, s suspicion) bool { return time.Since(s.until) > leavingFor })
	}
}

// recordSuccess records that an agent's target has answered.
func (a *avoidance) recordSuccess(agent incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.suspects, agent)
}

// eligible reports whether an agent may get new work of a team, and whether it is a suspect. After
// the suspicion expires, the agent gets one request at a time until one succeeds.
func (a *avoidance) eligible(agent incarnation, team string, inflight int) (ok, suspect bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if now.Before(a.leavingUntil[agent]) || now.Before(a.fullUntil[agentTeam{agent: agent, team: team}]) {
		return false, false
	}
	s, found := a.suspects[agent]
	return true, found && (now.Before(s.until) || inflight > 0)
}

// extendMark extends the mark of key to until. It removes expired marks if there are more than
// maxMarks.
func extendMark[K comparable](marks map[K]time.Time, key K, until time.Time) {
	if until.After(marks[key]) {
		marks[key] = until
	}
	if len(marks) > maxMarks {
		now := time.Now()
		maps.DeleteFunc(marks, func(_ K, until time.Time) bool { return until.Before(now) })
	}
}
