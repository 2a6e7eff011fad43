package ledger

import (
	"context"
	"errors"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/sessions/hosting"
)

// Timeouts of the follower.
const (
	// readLimit is the maximum number of records per read.
	readLimit = 256
	// readWait is how long a read waits for the next record. A link that drops packets is detected
	// after readWait + readGrace. This must leave time to fetch a peer's state, because a
	// configuration change has to take effect within 7 s.
	readWait = 3 * time.Second
	// readGrace is the time that a read may take in addition to its wait.
	readGrace = time.Second
	// readRetry is the pause after a failed read.
	readRetry = 250 * time.Millisecond
	// loadTimeout limits the time to load a snapshot.
	loadTimeout = 5 * time.Second
)

// PeerStates fetches states from other processes.
type PeerStates interface {
	// NewerState returns a state of a peer that is newer than the revision, if there is one.
	NewerState(ctx context.Context, revision int64) (State, bool)
}

// Update is a change for the goroutine that owns the replica.
type Update struct {
	// Records are the next records of the log.
	Records []hosting.Record
	// State is a full state from a snapshot or a peer; nil if there is none.
	State *State
	// FromPeer means that State came from a running process, so it is as recent as the state of
	// that process.
	FromPeer bool
	// AtEnd means that the read reached the end of the log.
	AtEnd bool
	// Err is the error of a failed read.
	Err error
}

// Follower reads the log for a replica. If it cannot read the next records, it fetches a full state
// from the newest snapshot or from a peer.
type Follower struct {
	log   hosting.Log
	peers PeerStates
	// next is the offset of the next read. Only Run's goroutine uses it.
	next int64
}

// NewFollower returns a follower that starts from the newest snapshot.
func NewFollower(log hosting.Log, peers PeerStates) *Follower {
	return &Follower{log: log, peers: peers, next: 1}
}

// Run reads until ctx ends and sends every update to out.
func (f *Follower) Run(ctx context.Context, out chan<- Update) {
	f.loadSnapshot(ctx, out)
	// The first reads do not wait for records, because the process is ready once it has reached the
	// end of the log.
	wait := time.Duration(0)
	for ctx.Err() == nil {
		batch, err := f.read(ctx, wait)
		if err != nil {
			// A read that does not wait for records detects a recovered log sooner.
			wait = 0
			f.recover(ctx, out, err)
			continue
		}
		if n := len(batch.Records); n > 0 {
			f.next = batch.Records[n-1].Offset + 1
		}
		atEnd := f.next >= batch.Next
		if atEnd {
			wait = readWait
		}
		send(ctx, out, Update{Records: batch.Records, AtEnd: atEnd})
	}
}

func (f *Follower) read(ctx context.Context, wait time.Duration) (hosting.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readGrace)
	defer cancel()
	return f.log.Read(ctx, hosting.LedgerStream, f.next, readLimit, wait)
}

// loadSnapshot resumes from the newest snapshot, if one can be read.
func (f *Follower) loadSnapshot(ctx context.Context, out chan<- Update) {
	bounded, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if s, err := ReadSnapshot(bounded, f.log); err == nil {
		f.adopt(ctx, out, s, false)
	}
}

func (f *Follower) adopt(ctx context.Context, out chan<- Update, s State, fromPeer bool) {
	if s.revision < f.next {
		return
	}
	f.next = s.revision + 1
	send(ctx, out, Update{State: &s, FromPeer: fromPeer})
}

// recover handles a failed read. If the records have expired, it loads a snapshot. In all cases
// it asks the peers for a newer state.
func (f *Follower) recover(ctx context.Context, out chan<- Update, err error) {
	send(ctx, out, Update{Err: err})
	if errors.Is(err, hosting.ErrRecordsExpired) {
		f.loadSnapshot(ctx, out)
	}
	if s, found := f.peers.NewerState(ctx, f.next-1); found {
		f.adopt(ctx, out, s, true)
	}
	pause.For(ctx, readRetry)
}

func send(ctx context.Context, out chan<- Update, u Update) {
	select {
	case out <- u:
	case <-ctx.Done():
	}
}
