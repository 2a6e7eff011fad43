package gang

import (
	"context"
	"math"
	"sync"
	"time"
)

// memberState is the content of a member's newest heartbeat.
type memberState struct {
	status   Status
	progress time.Duration
	// receivedAt is the time when the heartbeat arrived; zero before the first one.
	receivedAt time.Time
}

// Leader grants leases to the members of one placement.
type Leader struct {
	token  int64
	timing Timing

	mu sync.Mutex
	// members contains all members by worker, including those that have sent no heartbeat yet.
	members map[string]memberState
	// running is set when the leader learns that the ledger has recorded the start of the gang.
	// runningSince is the time at which it learned this.
	running      bool
	runningSince time.Time
	// failed is the reason why the gang must stop. It is never cleared.
	failed string
	// changed is closed and replaced when the report may have changed.
	changed chan struct{}
}

// NewLeader returns the leader of a placement with the given workers.
func NewLeader(token int64, workers []string, timing Timing) *Leader {
	l := &Leader{
		token:   token,
		timing:  timing,
		members: make(map[string]memberState),
		changed: make(chan struct{}),
	}
	for _, name := range workers {
		l.members[name] = memberState{status: Preparing}
	}
	return l
}

// SetRunning tells the leader that the ledger has recorded the start of the gang.
func (l *Leader) SetRunning() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.running {
		l.running, l.runningSince = true, time.Now()
		l.notify()
	}
}

// notify wakes up waiting heartbeats and the readers of Changed. The caller must hold l.mu.
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

// Heartbeat records a heartbeat and returns the grant. The answer to a ready member waits up to one
// heartbeat period for the gang to run; otherwise the start could be delayed by a period.
func (l *Leader) Heartbeat(ctx context.Context, h Heartbeat) Grant {
	grant, changed := l.record(h)
	if h.Status != Ready || grant.Run || grant.Stop {
		return grant
	}
	timer := time.NewTimer(l.timing.HeartbeatInterval)
	defer timer.Stop()
	for !grant.Run && !grant.Stop {
		select {
		case <-changed:
			grant, changed = l.currentGrant()
		case <-timer.C:
			return grant
		case <-ctx.Done():
			return grant
		}
	}
	return grant
}

func (l *Leader) record(h Heartbeat) (Grant, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, found := l.members[h.Worker]
	if !found || h.Token != l.token {
		return Grant{Stop: true}, l.changed
	}
	l.members[h.Worker] = memberState{status: h.Status, progress: h.Progress, receivedAt: time.Now()}
	if l.failed == "" && (h.Status == Failed || h.Status == Stopped) {
		l.failed = "member " + h.Worker + " " + string(h.Status)
	}
	if old.status != h.Status || old.progress != h.Progress {
		l.notify()
	}
	return l.grant(), l.changed
}

func (l *Leader) currentGrant() (Grant, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grant(), l.changed
}

// grant returns the grant, which is the same for all members. It lets the gang run only while all
// members are known to be healthy, and otherwise sets failed. The caller must hold l.mu.
func (l *Leader) grant() Grant {
	if l.failed != "" {
		return Grant{Stop: true}
	}
	if !l.running {
		return Grant{}
	}
	now := time.Now()
	for name, m := range l.members {
		if m.status == Ready && now.Sub(l.runningSince) > l.timing.HeartbeatTimeout {
			// The member's heartbeats arrive, but grants may not reach it. The others would run
			// without it.
			l.failed = "member " + name + " did not start in time"
			l.notify()
			return Grant{Stop: true}
		}
		if m.receivedAt.IsZero() || now.Sub(m.receivedAt) > l.timing.HeartbeatTimeout {
			// The member's lease has ended or is about to end, so the gang cannot become complete
			// again.
			l.failed = "member " + name + " is silent"
			l.notify()
			return Grant{Stop: true}
		}
	}
	return Grant{Run: true}
}

// Report returns the state of the gang for the entry.
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
