package entry

import (
	"fmt"
	"strings"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/placement"
	"yarrowgrade.example/yarrowgrade/sessions/policy"
)

// want is a record that should be in the ledger.
type want struct {
	// key names the want, so that it is proposed once at a time.
	key    string
	record ledger.Record
	// shared wants could come from any entry; the others rest on what an agent told only this one.
	shared bool
}

func prepareKey(token int64) string { return fmt.Sprintf("prepare/%d", token) }

// reported returns what follows from the polls of the agents that this entry serves.
func (c *control) reported(state ledger.State) []want {
	var wants []want
	for _, a := range c.entry.agents.list() {
		w, found := state.Worker(a.Worker)
		if !found || w.Incarnation != a.Incarnation {
			c.entry.agents.forget(a.Worker)
			continue
		}
		if a.Leaving && !w.Leaving {
			wants = append(wants, leaveWant(w))
		}
		wants = append(wants, stoppedWants(state, a)...)
		wants = append(wants, gangWants(state, a)...)
	}
	return wants
}

func leaveWant(w ledger.Worker) want {
	return want{
		key:    "leave/" + w.Name + "/" + w.Incarnation,
		record: ledger.Record{Leave: &ledger.LeaveWorker{Worker: w.Name, Incarnation: w.Incarnation}},
	}
}

// stoppedWants releases what the agent says has stopped.
func stoppedWants(state ledger.State, a heardAgent) []want {
	var wants []want
	for _, s := range a.Stopped {
		p, found := state.Placement(s.Token)
		if !found || p.IsReleased(a.Worker) {
			continue
		}
		wants = append(wants, releaseWant(s.Token, a.Worker, ledger.StoppedByAgent, s.Progress))
	}
	return wants
}

func releaseWant(token int64, worker string, cause ledger.ReleaseCause, progress time.Duration) want {
	return want{
		key:    fmt.Sprintf("release/%d/%s", token, worker),
		record: ledger.Record{Release: &ledger.Release{Token: token, Worker: worker, Cause: cause, Progress: progress}},
	}
}

// gangWants starts, finishes or stops the gangs that the agent leads.
func gangWants(state ledger.State, a heardAgent) []want {
	var wants []want
	for _, r := range a.Gangs {
		p, found := state.Placement(r.Token)
		if !found {
			continue
		}
		switch {
		case r.Failed != "" && p.Phase != ledger.Stopping:
			wants = append(wants, stopWant(r.Token, r.Failed, ""))
		case r.Finished && p.Phase == ledger.Running:
			wants = append(wants, want{key: fmt.Sprintf("finish/%d", r.Token), record: ledger.Record{Finish: &ledger.Finish{Token: r.Token}}})
		case p.Phase == ledger.Running && r.Progress >= savedProgress(state, p)+worthSaving:
			wants = append(wants, want{
				key:    fmt.Sprintf("checkpoint/%d", r.Token),
				record: ledger.Record{Checkpoint: &ledger.Checkpoint{Token: r.Token, Progress: r.Progress}},
			})
		case r.Ready && p.Phase == ledger.Preparing:
			wants = append(wants, want{key: fmt.Sprintf("start/%d", r.Token), record: ledger.Record{Start: &ledger.Start{Token: r.Token}}})
		}
	}
	return wants
}

// worthSaving is the least work for which a record is written. With 700 gangs and a checkpoint
// every 10 minutes that is about one record a second.
const worthSaving = time.Minute

func savedProgress(state ledger.State, p ledger.Placement) time.Duration {
	session, _ := state.Session(p.Session)
	return session.Progress
}

func stopWant(token int64, reason, beneficiary string) want {
	return want{
		key:    fmt.Sprintf("stop/%d", token),
		record: ledger.Record{Stop: &ledger.Stop{Token: token, Reason: reason, For: beneficiary}},
	}
}

// asShared returns the want as one that any entry could propose.
func (w want) asShared() want {
	w.shared = true
	return w
}

// shared returns what follows from the ledger, the clock and the platform alone.
func (c *control) shared(state ledger.State) []want {
	var wants []want
	for _, p := range state.Placements() {
		wants = append(wants, c.placementWants(state, p)...)
	}
	for name := range c.gone {
		if w, found := state.Worker(name); found && !w.Leaving {
			wants = append(wants, leaveWant(w).asShared())
		}
	}
	return wants
}

func (c *control) placementWants(state ledger.State, p ledger.Placement) []want {
	var wants []want
	leaving := ""
	for _, m := range p.Members {
		if c.gone[m.Worker] && !p.IsReleased(m.Worker) {
			wants = append(wants, releaseWant(p.Token, m.Worker, ledger.WorkerGone, 0).asShared())
		}
		if w, _ := state.Worker(m.Worker); w.Leaving {
			leaving = m.Worker
		}
	}
	if p.Phase == ledger.Stopping {
		return wants
	}
	if leaving != "" {
		wants = append(wants, stopWant(p.Token, "worker "+leaving+" is leaving", "").asShared())
	}
	if p.Phase == ledger.Preparing && time.Since(c.firstSeen(prepareKey(p.Token))) > c.entry.settings.PrepareTimeout {
		wants = append(wants, stopWant(p.Token, "not all members were ready in time", "").asShared())
	}
	return wants
}

// decisions returns the starts and reclaims that package placement wants. While some are under
// way none are added, because the state does not show them yet.
func (c *control) decisions(state ledger.State) []want {
	for key, until := range c.resting {
		if until.IsZero() && (strings.HasPrefix(key, "place/") || strings.HasPrefix(key, "reclaim/")) {
			return nil
		}
	}
	if c.decidedRevision == state.Revision() && time.Since(c.decidedAt) < decidePeriod {
		return c.decided
	}
	if time.Since(c.decidedAt) < decideRest*c.decideTook {
		c.putOff = true
		return nil
	}
	c.decided, c.decidedAt, c.decidedRevision, c.putOff = nil, time.Now(), state.Revision(), false
	defer func() { c.decideTook = time.Since(c.decidedAt) }()
	in := state.DecisionInput(time.Now(), c.entry.yieldRank(state))
	if len(in.Waiting) == 0 {
		return nil
	}
	for _, d := range placement.Decide(in, state.Profile()) {
		c.decided = append(c.decided, decisionWants(d)...)
	}
	c.entry.parts.Telemetry.Metrics.Timer("decide").Record(time.Since(c.decidedAt))
	return c.decided
}

func decisionWants(d placement.Decision) []want {
	if len(d.Members) > 0 {
		return []want{{
			key:    "place/" + d.Session,
			record: ledger.Record{Place: &ledger.Place{Session: d.Session, Members: d.Members, Borrowed: d.Borrowed}},
			shared: true,
		}}
	}
	var wants []want
	for _, token := range d.Victims {
		w := stopWant(token, "reclaimed", d.Session).asShared()
		w.key = fmt.Sprintf("reclaim/%d", token)
		wants = append(wants, w)
	}
	return wants
}

// yieldRank asks the policies for the place of a placement in the order of victims.
func (e *Entry) yieldRank(state ledger.State) func(ledger.Placement) int {
	set := e.policies.Load().set
	return func(p ledger.Placement) int {
		session, _ := state.Session(p.Session)
		return set.YieldRank(sessionSubject(session.SessionSpec))
	}
}

func sessionSubject(s ledger.SessionSpec) policy.Subject {
	return policy.Subject{
		Kind: policy.SessionKind, Team: s.Team, Session: s.Name, Accelerators: s.Shape.Accelerators,
		Adjacency: string(s.Shape.Adjacency), Urgent: s.Urgent, WorkSeconds: int(s.Work),
	}
}
