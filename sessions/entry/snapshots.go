package entry

import (
	"context"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/ledger"
)

// saveIfDue writes a snapshot if enough records or time have passed since the last one. The entry
// of rank zero does it when it is due. The others wait half as long again for each rank, so that
// they write one only if the entries before them have failed.
func (e *Entry) saveIfDue(ctx context.Context) {
	if !e.ready.Load() {
		return
	}
	state := e.replica.State()
	revision, at := state.LastSnapshot()
	patience := 1 + float64(e.peers.rank())/2
	records := float64(state.Revision() - revision)
	age := time.Since(e.began)
	if at != 0 {
		age = ledger.Age(at, time.Now())
	}
	due := records >= patience*float64(e.settings.SnapshotRecords) ||
		(records > 0 && float64(age) >= patience*float64(e.settings.SnapshotAge))
	if !due || state.Revision() == 0 {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	if err := ledger.WriteSnapshot(bounded, e.parts.Platform, e.settings.Name, state); err != nil {
		e.parts.Telemetry.Log.Warn().Str("step", "entry.snapshot").Err(err).Msg("snapshot not written")
		return
	}
	_, err := e.proposer.Propose(bounded, ledger.Record{Saved: &ledger.Saved{Revision: state.Revision()}})
	e.parts.Telemetry.Log.Info().Str("step", "entry.snapshot").Int64("revision", state.Revision()).Err(err).
		Msg("snapshot written")
}

// snapshotTimeout limits the writing of one snapshot.
const snapshotTimeout = 20 * time.Second
