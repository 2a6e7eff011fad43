package entry

import (
	"fmt"
	"strings"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/placement"
	"yarrowgrade.example/yarrowgrade/sessions/policy"
)

// proposal is a record that this entry wants to append to the ledger.
type proposal struct {
	// key identifies the proposal, so that it is not in progress twice.
	key    string
	record ledger.Record
	// shared proposals follow from state that all entries have. The others follow from a report
	// that an agent sent to this entry only.
	shared bool
}

func prepareKey(token int64) string { return fmt.Sprintf("prepare/%d", token) }

// reportedProposals returns the proposals that follow from the polls of agents. It removes the
// reports of agents that have been replaced.
func (c *control) reportedProposals(state ledger.State) []proposal {
	var proposals []proposal
	for _, a := range c.entry.agents.list() {
		w, found := state.Worker(a.Worker)
		if !found || w.Incarnation != a.Incarnation {
			c.entry.agents.remove(a.Worker)
			continue
		}
		if a.Leaving && !w.Leaving {
			proposals = append(proposals, leaveProposal(w))
		}
		proposals = append(proposals, stoppedProposals(state, a)...)
		proposals = append(proposals, gangProposals(state, a)...)
	}
	return proposals
}

func leaveProposal(w ledger.Worker) proposal {
	return proposal{
		key:    "leave/" + w.Name + "/" + w.Incarnation,
		record: ledger.Record{Leave: &ledger.LeaveWorker{Worker: w.Name, Incarnation: w.Incarnation}},
	}
}

// stoppedProposals returns proposals to release the members that the agent reports as stopped.
func stoppedProposals(state ledger.State, a agentReport) []proposal {
	var proposals []proposal
	for _, s := range a.Stopped {
		p, found := state.Placement(s.Token)
		if !found || p.IsReleased(a.Worker) {
			continue
		}
		proposals = append(proposals, releaseProposal(s.Token, a.Worker, ledger.StoppedByAgent, s.Progress))
	}
	return proposals
}

func releaseProposal(token int64, worker string, cause ledger.ReleaseCause, progress time.Duration) proposal {
	return proposal{
		key: fmt.Sprintf("release/%d/%s", token, worker),
		record: ledger.Record{Release: &ledger.Release{
			Token:    token,
			Worker:   worker,
			Cause:    cause,
			Progress: progress,
		}},
	}
}

// gangProposals returns proposals to start, checkpoint, finish or stop the gangs that the agent
// leads.
func gangProposals(state ledger.State, a agentReport) []proposal {
	var proposals []proposal
	for _, r := range a.Gangs {
		p, found := state.Placement(r.Token)
		if !found {
			continue
		}
		switch {
		case r.Failed != "" && p.Phase != ledger.Stopping:
			proposals = append(proposals, stopProposal(r.Token, r.Failed, ""))
		case r.Finished && p.Phase == ledger.Running:
			proposals = append(proposals, proposal{
				key:    fmt.Sprintf("finish/%d", r.Token),
				record: ledger.Record{Finish: &ledger.Finish{Token: r.Token}},
			})
		case p.Phase == ledger.Running && r.Progress >= savedProgress(state, p)+minProgressStep:
			proposals = append(proposals, proposal{
				key:    fmt.Sprintf("checkpoint/%d", r.Token),
				record: ledger.Record{Checkpoint: &ledger.Checkpoint{Token: r.Token, Progress: r.Progress}},
			})
		case r.Ready && p.Phase == ledger.Preparing:
			proposals = append(proposals, proposal{
				key:    fmt.Sprintf("start/%d", r.Token),
				record: ledger.Record{Start: &ledger.Start{Token: r.Token}},
			})
		}
	}
	return proposals
}

// minProgressStep is the smallest increase in saved progress that is recorded. 700 gangs with a
// checkpoint every 10 min write about one record/s.
const minProgressStep = time.Minute

func savedProgress(state ledger.State, p ledger.Placement) time.Duration {
	session, _ := state.Session(p.Session)
	return session.Progress
}

func stopProposal(token int64, reason, beneficiary string) proposal {
	return proposal{
		key:    fmt.Sprintf("stop/%d", token),
		record: ledger.Record{Stop: &ledger.Stop{Token: token, Reason: reason, For: beneficiary}},
	}
}

// asShared returns a copy of the proposal that is marked as shared.
func (p proposal) asShared() proposal {
	p.shared = true
	return p
}

// sharedProposals returns the proposals that follow from the ledger, the clock and the platform,
// and that any entry can make.
func (c *control) sharedProposals(state ledger.State) []proposal {
	var proposals []proposal
	for _, p := range state.Placements() {
		proposals = append(proposals, c.placementProposals(state, p)...)
	}
	for name := range c.gone {
		if w, found := state.Worker(name); found && !w.Leaving {
			proposals = append(proposals, leaveProposal(w).asShared())
		}
	}
	return proposals
}

func (c *control) placementProposals(state ledger.State, p ledger.Placement) []proposal {
	var proposals []proposal
	leaving := ""
	for _, m := range p.Members {
		if c.gone[m.Worker] && !p.IsReleased(m.Worker) {
			proposals = append(proposals, releaseProposal(p.Token, m.Worker, ledger.WorkerGone, 0).asShared())
		}
		if w, _ := state.Worker(m.Worker); w.Leaving {
			leaving = m.Worker
		}
	}
	if p.Phase == ledger.Stopping {
		return proposals
	}
	if leaving != "" {
		proposals = append(proposals, stopProposal(p.Token, "worker "+leaving+" is leaving", "").asShared())
	}
	if p.Phase == ledger.Preparing && time.Since(c.firstSeen(prepareKey(p.Token))) > c.entry.settings.PrepareTimeout {
		proposals = append(proposals, stopProposal(p.Token, "not all members were ready in time", "").asShared())
	}
	return proposals
}

// decisions returns the starts and reclaims that package placement decides on. It returns none
// while earlier ones are in progress, because the state does not contain those yet.
func (c *control) decisions(state ledger.State) []proposal {
	for key, until := range c.pausedUntil {
		if until.IsZero() && (strings.HasPrefix(key, "place/") || strings.HasPrefix(key, "reclaim/")) {
			return nil
		}
	}
	if c.decidedRevision == state.Revision() && time.Since(c.decidedAt) < decidePeriod {
		return c.decided
	}
	if time.Since(c.decidedAt) < decidePauseFactor*c.decideDuration {
		c.deferred = true
		return nil
	}
	c.decided, c.decidedAt, c.decidedRevision, c.deferred = nil, time.Now(), state.Revision(), false
	defer func() { c.decideDuration = time.Since(c.decidedAt) }()
	in := state.DecisionInput(time.Now(), c.entry.yieldRank(state))
	if len(in.Waiting) == 0 {
		return nil
	}
	for _, d := range placement.Decide(in, state.Profile()) {
		c.decided = append(c.decided, decisionProposals(d)...)
	}
	c.entry.deps.Telemetry.Metrics.Timer("decide").Record(time.Since(c.decidedAt))
	return c.decided
}

func decisionProposals(d placement.Decision) []proposal {
	if len(d.Members) > 0 {
		return []proposal{{
			key: "place/" + d.Session,
			record: ledger.Record{Place: &ledger.Place{
				Session:  d.Session,
				Members:  d.Members,
				Borrowed: d.Borrowed,
			}},
			shared: true,
		}}
	}
	var proposals []proposal
	for _, token := range d.Victims {
		p := stopProposal(token, "reclaimed", d.Session).asShared()
		p.key = fmt.Sprintf("reclaim/%d", token)
		proposals = append(proposals, p)
	}
	return proposals
}

// yieldRank returns a function that evaluates the policies for the yield rank of a placement.
func (e *Entry) yieldRank(state ledger.State) func(ledger.Placement) int {
	set := e.policies.Load().set
	return func(p ledger.Placement) int {
		session, _ := state.Session(p.Session)
		return set.YieldRank(sessionSubject(session.SessionSpec))
	}
}

func sessionSubject(s ledger.SessionSpec) policy.Subject {
	return policy.Subject{
		Kind:         policy.SessionKind,
		Team:         s.Team,
		Session:      s.Name,
		Accelerators: s.Shape.Accelerators,
		Adjacency:    string(s.Shape.Adjacency),
		Urgent:       s.Urgent,
		WorkSeconds:  int(s.Work),
	}
}
