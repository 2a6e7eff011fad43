package entry

import (
	"context"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/ledger"
)

// snapshotIfDue writes a snapshot if enough records or enough time have passed since the last one.
// The entry of rank zero uses the limits of the settings. Each further rank adds half of these
// limits, so that an entry writes a snapshot only if those of lower rank have failed.
func (e *Entry) snapshotIfDue(ctx context.Context) {
	if !e.ready.Load() {
		return
	}
	state := e.replica.State()
	revision, at := state.LastSnapshot()
	rankFactor := 1 + float64(e.peers.rank())/2
	records := float64(state.Revision() - revision)
	age := time.Since(e.createdAt)
	if at != 0 {
		age = ledger.Age(at, time.Now())
	}
	due := records >= rankFactor*float64(e.settings.SnapshotRecords) ||
		(records > 0 && float64(age) >= rankFactor*float64(e.settings.SnapshotAge))
	if !due || state.Revision() == 0 {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	if err := ledger.WriteSnapshot(bounded, e.deps.Platform, e.settings.Name, state); err != nil {
		e.deps.Telemetry.Log.Warn().Str("step", "entry.snapshot").Err(err).Msg("cannot write the snapshot")
		return
	}
	_, err := e.proposer.Propose(bounded, ledger.Record{Saved: &ledger.Saved{Revision: state.Revision()}})
	e.deps.Telemetry.Log.Info().Str("step", "entry.snapshot").Int64("revision", state.Revision()).Err(err).
		Msg("snapshot written")
}

// snapshotTimeout bounds the writing of one snapshot.
const snapshotTimeout = 20 * time.Second
