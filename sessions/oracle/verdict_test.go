package oracle

import (
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/hosting"
	"yarrowgrade.example/yarrowgrade/sessions/hosting/standin"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/request"
)

// finish heals the system, waits until it is quiet, and checks what must hold at the end.
func (x *execution) finish() {
	x.pending.Wait()
	x.mu.Lock()
	x.platform.SetFaults(standin.Faults{})
	x.network.Heal()
	for i := range entryCount {
		x.restartEntry(i)
	}
	for i := range agentCount {
		x.targets[i].set(faultNone)
		x.restartAgent(i)
	}
	x.mu.Unlock()
	time.Sleep(time.Minute)
	x.checkRequests()
	x.checkSessions()
	x.checkLog()
	x.checkConfig()
	x.checkGuarantees()
}

// checkRequests holds each outcome against what the targets ran.
func (x *execution) checkRequests() {
	for _, r := range x.requests {
		runs := x.runsOf(r.body)
		if r.key != "" && runs > 1 {
			x.violate("%s ran %d times", r.body, runs)
		}
		for _, o := range r.outcomes {
			switch o.Outcome {
			case request.Done:
				if o.Body != answerTo(r.body) {
					x.violate("%s got the answer %q", r.body, o.Body)
				}
				if runs == 0 {
					x.violate("%s is done but never ran", r.body)
				}
			case request.NotRun:
				if runs > 0 {
					x.violate("%s is not_run but ran %d times: %s", r.body, runs, o.Reason)
				}
				if o.RetryAfterMillis == 0 {
					x.violate("%s is not_run without a time to come back", r.body)
				}
			case request.Unknown:
			default:
				x.violate("%s got the outcome %q", r.body, o.Outcome)
			}
		}
	}
}

// checkSessions looks for sessions that were dropped, and for a system that stands still.
func (x *execution) checkSessions() {
	state, _ := x.state(0)
	for name := range x.accepted {
		session, found := state.Session(name)
		if !found {
			x.violate("session %s was dropped", name)
			continue
		}
		if session.Phase == ledger.SessionCancelled && !x.cancelled[name] {
			x.violate("session %s was cancelled by nobody", name)
		}
	}
	for _, p := range state.Placements() {
		if p.Phase == ledger.Preparing {
			x.violate("placement %d still prepares a minute after all failures", p.Token)
		}
	}
}

// maxRecords is far above what a plan needs: 25 actions and two minutes. The platform's log takes
// some hundred appends a second, and it is not the system's alone.
const maxRecords = 1500

// checkLog wants the system not to flood the log.
func (x *execution) checkLog() {
	if state, _ := x.state(0); state.Revision() > maxRecords {
		batch, _ := x.platform.Read(x.ctx, hosting.LedgerStream, state.Revision()-20, 20, 0)
		x.violate("the log has %d records, among the last: %s", state.Revision(), texts(batch))
	}
}

// texts returns the records of a batch as they are stored.
func texts(batch hosting.Batch) []string {
	var list []string
	for _, r := range batch.Records {
		list = append(list, string(r.Data))
	}
	return list
}

// checkConfig wants both entries and all agents at the newest configuration.
func (x *execution) checkConfig() {
	a, _ := x.state(0)
	b, _ := x.state(1)
	if a.ConfigRevision() != b.ConfigRevision() {
		x.violate("entries are at configurations %d and %d", a.ConfigRevision(), b.ConfigRevision())
	}
	for i, r := range x.agents {
		if got := r.process.ConfigRevision(); got != a.ConfigRevision() && !x.lost[i] {
			x.violate("agent %d is at configuration %d, not %d", i, got, a.ConfigRevision())
		}
	}
	if ok, reason := linearizable(x.puts); !ok {
		x.violate("configuration: %s", reason)
	}
}

// checkGuarantees wants every guarantee to be had back at the end, with at most one worker lost.
func (x *execution) checkGuarantees() {
	state, _ := x.state(0)
	if short := state.Shortfall(); len(short) > 0 && len(x.lost) == 0 {
		x.violate("guarantees can't be had back: %v", short)
	}
}
