package oracle

import (
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/hosting"
	"yarrowgrade.example/yarrowgrade/sessions/hosting/standin"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/request"
)

// finish removes all faults, gives the system a minute to recover, and checks the final invariants.
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

// checkRequests checks each outcome against the runs that the targets counted.
func (x *execution) checkRequests() {
	for _, r := range x.requests {
		runs := x.runsOf(r.body)
		if r.key != "" && runs > 1 {
			x.addViolation("%s ran %d times", r.body, runs)
		}
		for _, o := range r.outcomes {
			switch o.Outcome {
			case request.Done:
				if o.Body != responseTo(r.body) {
					x.addViolation("%s got the response %q", r.body, o.Body)
				}
				if runs == 0 {
					x.addViolation("%s is done but never ran", r.body)
				}
			case request.NotRun:
				if runs > 0 {
					x.addViolation("%s is not_run but ran %d times: %s", r.body, runs, o.Reason)
				}
				if o.RetryAfterMillis == 0 {
					x.addViolation("%s is not_run without a retry time", r.body)
				}
			case request.Unknown:
			default:
				x.addViolation("%s got the outcome %q", r.body, o.Outcome)
			}
		}
	}
}

// checkSessions checks that no session was dropped or cancelled without a request, and that no
// placement is stuck in the Preparing phase.
func (x *execution) checkSessions() {
	state, _ := x.state(0)
	for name := range x.accepted {
		session, found := state.Session(name)
		if !found {
			x.addViolation("session %s was dropped", name)
			continue
		}
		if session.Phase == ledger.SessionCancelled && !x.cancelled[name] {
			x.addViolation("session %s was cancelled without a request", name)
		}
	}
	for _, p := range state.Placements() {
		if p.Phase == ledger.Preparing {
			x.addViolation("placement %d is still preparing a minute after all faults", p.Token)
		}
	}
}

// maxRecords is far above what a plan of 25 actions and two minutes needs. The log must not be
// flooded, because the platform accepts only a few hundred appends per second and shares the log
// with other users.
const maxRecords = 1500

// checkLog checks that the system does not flood the log.
func (x *execution) checkLog() {
	if state, _ := x.state(0); state.Revision() > maxRecords {
		batch, _ := x.platform.Read(x.ctx, hosting.LedgerStream, state.Revision()-20, 20, 0)
		x.addViolation("the log has %d records, among the last: %s", state.Revision(), texts(batch))
	}
}

// texts returns the stored form of the records of a batch.
func texts(batch hosting.Batch) []string {
	var list []string
	for _, r := range batch.Records {
		list = append(list, string(r.Data))
	}
	return list
}

// checkConfig checks that both entries and all agents have the newest configuration, and that the
// configuration changes are linearizable.
func (x *execution) checkConfig() {
	a, _ := x.state(0)
	b, _ := x.state(1)
	if a.ConfigRevision() != b.ConfigRevision() {
		x.addViolation("entries are at configuration revisions %d and %d", a.ConfigRevision(), b.ConfigRevision())
	}
	for i, r := range x.agents {
		if got := r.process.ConfigRevision(); got != a.ConfigRevision() && !x.lostWorkers[i] {
			x.addViolation("agent %d is at configuration revision %d, not %d", i, got, a.ConfigRevision())
		}
	}
	if ok, reason := linearizable(x.puts); !ok {
		x.addViolation("configuration: %s", reason)
	}
}

// checkGuarantees checks that every guarantee can be met at the end, unless a worker was lost.
func (x *execution) checkGuarantees() {
	state, _ := x.state(0)
	if short := state.Shortfall(); len(short) > 0 && len(x.lostWorkers) == 0 {
		x.addViolation("guarantees cannot be met: %v", short)
	}
}
