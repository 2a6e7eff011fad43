package ledger

import (
	"context"
	"errors"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/sessions/hosting"
)

// Settings of the follower.
const (
	// readLimit is how many records one read asks for.
	readLimit = 256
	// readWait is how long a read waits for the next record. With readGrace it is how long the
	// silent loss of the way to the log goes unnoticed, which has to leave time for a peer's
	// state within the 7 s of a configuration.
	readWait = 3 * time.Second
	// readGrace is how much longer than its wait a read may take. A link that is cut says nothing.
	readGrace = time.Second
	// readRetry is the pause after a failed read.
	readRetry = 250 * time.Millisecond
	// loadTimeout bounds the loading of a snapshot.
	loadTimeout = 5 * time.Second
)

// PeerStates asks other processes for a state newer than a revision.
type PeerStates interface {
	// NewerState returns the newest state that a peer has, if one is newer than the revision.
	NewerState(ctx context.Context, revision int64) (State, bool)
}

// Update is something for the goroutine that owns the replica to take in.
type Update struct {
	// Records are the next records of the log.
	Records []hosting.Record
	// State is a whole state from a snapshot or from a peer, if not nil.
	State *State
	// FromPeer says that State came from a process that is running, so that it is as new as
	// that one's.
	FromPeer bool
	// AtEnd says that the log had nothing more when it was read.
	AtEnd bool
	// Err is the failure of a read; the log may be down.
	Err error
}

// Follower reads the log for one replica. It never guesses: where records are missing it asks
// for a whole state.
type Follower struct {
	log   hosting.Log
	peers PeerStates
	// next is the offset to read next. Only Run's goroutine uses it.
	next int64
}

// NewFollower returns a follower that starts from the newest snapshot.
func NewFollower(log hosting.Log, peers PeerStates) *Follower {
	return &Follower{log: log, peers: peers, next: 1}
}

// Run reads until ctx ends and hands every update to out.
func (f *Follower) Run(ctx context.Context, out chan<- Update) {
	f.loadSnapshot(ctx, out)
	// The first reads do not wait: the process is ready when it has seen the end, and an empty
	// log has nothing to wait for.
	wait := time.Duration(0)
	for ctx.Err() == nil {
		batch, err := f.read(ctx, wait)
		if err != nil {
			// Reads that do not wait find out sooner whether the log is back.
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

// loadSnapshot jumps to the newest snapshot, if there is one, before the first read.
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

// recover handles a failed read: expired records need a snapshot, and whatever failed a peer
// may know more.
func (f *Follower) recover(ctx context.Context, out chan<- Update, err error) {
	send(ctx, out, Update{Err: err})
	if errors.Is(err, hosting.ErrExpired) {
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
