package gang

import (
	"context"
	"math"
	"sync"
	"time"
)

// memberState is what the leader knows of a member.
type memberState struct {
	status   Status
	progress time.Duration
	at       time.Time
}

// Leader grants leases to the members of one placement.
type Leader struct {
	token  int64
	timing Timing
	mu     sync.Mutex
	// members has every member, also those that were not heard yet.
	members map[string]memberState
	running bool
	// since is when the leader learned that the gang runs.
	since   time.Time
	failed  string
	changed chan struct{}
}

// NewLeader returns the leader of a placement with the given workers.
func NewLeader(token int64, workers []string, timing Timing) *Leader {
	l := &Leader{token: token, timing: timing, members: make(map[string]memberState), changed: make(chan struct{})}
	for _, name := range workers {
		l.members[name] = memberState{status: Preparing}
	}
	return l
}

// SetRunning takes in that the ledger says that the gang runs.
func (l *Leader) SetRunning() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.running {
		l.running, l.since = true, time.Now()
		l.notify()
	}
}

// notify lets beats that wait look again. The caller holds the lock.
func (l *Leader) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the report may have changed.
func (l *Leader) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Heartbeat takes in a member's beat and answers it. The answer to a member that is ready waits up
// to one beat for the gang to run, so that a start is not late by a beat.
func (l *Leader) Heartbeat(ctx context.Context, b Heartbeat) Grant {
	grant, changed := l.record(b)
	if b.Status != Ready || grant.Run || grant.Stop {
		return grant
	}
	timer := time.NewTimer(l.timing.Beat)
	defer timer.Stop()
	for !grant.Run && !grant.Stop {
		select {
		case <-changed:
			grant, changed = l.currentGrant(b.Worker)
		case <-timer.C:
			return grant
		case <-ctx.Done():
			return grant
		}
	}
	return grant
}

func (l *Leader) record(b Heartbeat) (Grant, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, found := l.members[b.Worker]
	if !found || b.Token != l.token {
		return Grant{Stop: true}, l.changed
	}
	l.members[b.Worker] = memberState{status: b.Status, progress: b.Progress, at: time.Now()}
	if l.failed == "" && (b.Status == Failed || b.Status == Stopped) {
		l.failed = "member " + b.Worker + " " + string(b.Status)
	}
	if old.status != b.Status || old.progress != b.Progress {
		l.notify()
	}
	return l.grant(), l.changed
}

func (l *Leader) currentGrant(worker string) (Grant, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grant(), l.changed
}

// grant is the same for all members: run only while each of them is known to be well. The
// caller holds the lock.
func (l *Leader) grant() Grant {
	if l.failed != "" {
		return Grant{Stop: true}
	}
	if !l.running {
		return Grant{}
	}
	now := time.Now()
	for name, m := range l.members {
		if m.status == Ready && now.Sub(l.since) > l.timing.Fresh {
			// Its beats arrive, but perhaps no grant reaches it: the others would run without
			// it as long as it beats.
			l.failed = "member " + name + " did not start in time"
			l.notify()
			return Grant{Stop: true}
		}
		if m.at.IsZero() || now.Sub(m.at) > l.timing.Fresh {
			// A member that was silent this long has lapsed or is about to: its gang can't be
			// whole again.
			l.failed = "member " + name + " is silent"
			l.notify()
			return Grant{Stop: true}
		}
	}
	return Grant{Run: true}
}

// Report returns what the leader knows.
func (l *Leader) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Report{Token: l.token, Ready: true, Finished: true, Failed: l.failed, Progress: math.MaxInt64}
	for _, m := range l.members {
		r.Progress = min(r.Progress, m.progress)
		if m.status == Preparing || m.status == Failed || m.status == Stopped {
			r.Ready = false
		}
		if m.status != Finished {
			r.Finished = false
		}
	}
	return r
}
