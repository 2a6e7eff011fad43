package leader

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/internal/suspend"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// agentLease is what is known of one worker and its agent.
type agentLease struct {
	// agent is the newest life of the agent's process; former ones are not listened to any more.
	agent    string
	former   map[string]bool
	sequence int64
	fence    int64
	// poll is the newest one; news says that the leading goroutine has not seen it yet.
	poll    assignment.Poll
	arrived time.Time
	news    bool
	// base is the newest poll that described the worker: later ones say only what has changed since.
	base assignment.Poll
	// life is the newest that a poll has listed, formerLives those before it, the newest first.
	life        incarnation.ID
	formerLives []incarnation.ID
	// granted is when the newest answer with a lease was sent.
	granted time.Time
	// expired says that the leading goroutine counts on the last lease being over: until it has published what follows from
	// that, the agent gets no lease and no orders.
	expired bool

	// want is what the leading goroutine has published for a life of the worker. Published is closed and replaced when it publishes something
	// new for it.
	want      dispatch.DesiredState
	published chan struct{}
	// taken is the sequence number of the poll that the leading goroutine took last, heard that of the one whose news it
	// has kept.
	taken int64
	heard int64
}

// wake has the agent's held polls looked at again. The lock of the leases must be held.
func (p *agentLease) wake() {
	close(p.published)
	p.published = make(chan struct{})
}

// leases is where agents' polls meet the leading goroutine, and what each agent may keep alive. The handlers of polls read what was published and leave their
// news; they change nothing else.
type leases struct {
	timing Timing
	// cordons returns what operators have cordoned, and the time of the proof that there is nothing else.
	cordons func() (catalog.Cordons, time.Time)
	news    chan struct{}

	mu sync.Mutex
	// term is that in which this entry leads; zero if it does not.
	term   int64
	fences int64
	proof  suspend.Instant
	clock  suspend.Clock
	synced bool
	// heard is when any agent polled last.
	heard  time.Time
	agents map[string]*agentLease
	// decided are the agents whose polls were taken, or whose lease was found to be over, since the last publication.
	decided map[*agentLease]bool
	// looks counts how often a poll was compared with what is wanted.
	looks tally.Counter
}

func newLeases(timing Timing, clock suspend.Clock, cordons func() (catalog.Cordons, time.Time), looks tally.Counter) *leases {
	return &leases{timing: timing, clock: clock, cordons: cordons, looks: looks, news: make(chan struct{}, 1)}
}

// open begins a term.
func (l *leases) open(term int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term, l.fences, l.proof, l.synced, l.heard = term, 0, suspend.Instant{}, false, time.Now()
	l.agents, l.decided = map[string]*agentLease{}, map[*agentLease]bool{}
}

// close ends the term: polls are redirected from now on.
func (l *leases) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wakeAll()
	l.term, l.agents, l.decided = 0, nil, nil
}

// prove notes that this entry led when a write that has been acknowledged was sent.
func (l *leases) prove(sent suspend.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lapsed := l.lease() == 0
	l.proof = l.clock.Later(sent, l.proof)
	if lapsed {
		// Without a lease nothing is started: what waits for one can be said now.
		l.wakeAll()
	}
}

// silence is for how long no agent has polled. It does not wait for the leading goroutine, which may stand still as long as
// the log does not answer.
func (l *leases) silence(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.heard)
}

// wakeAll has all held polls looked at again. The lock must be held.
func (l *leases) wakeAll() {
	for _, p := range l.agents {
		p.wake()
	}
}

// lease is how long runs may be kept alive from now on: nothing once the proof of leadership is too old, because a
// successor counts on it. What this machine was suspended counts: the successor's did not stand still.
func (l *leases) lease() time.Duration {
	if l.clock.Since(l.proof) > l.timing.MaxProofAge {
		return 0
	}
	return l.timing.Lease
}

// serve answers a poll, or returns false if this entry does not lead, or not in the term that the agent knows.
func (l *leases) serve(ctx context.Context, poll assignment.Poll) (assignment.Answer, bool) {
	arrived := time.Now()
	poll, ok := l.receive(poll)
	if !ok {
		return assignment.Answer{}, false
	}
	if poll.Delta != nil {
		return l.askAnew(poll)
	}
	deadline := time.NewTimer(l.timing.PollWait)
	defer deadline.Stop()
	for held := true; ; {
		answer, urgent, published, ok := l.answer(poll, arrived)
		if !ok || urgent || !poll.Wait || !held {
			return answer, ok
		}
		select {
		case <-published:
		case <-deadline.C:
			held = false
		case <-ctx.Done():
			return answer, false
		}
	}
}

// receive takes the news of a poll, and returns it as it describes the worker. One that builds on a poll which is not known here is returned as it came.
func (l *leases) receive(poll assignment.Poll) (assignment.Poll, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == 0 || poll.Term > l.term {
		return poll, false
	}
	l.heard = time.Now()
	p := l.agentOf(poll.Worker)
	if p.former[poll.Agent] {
		return poll, false
	}
	if p.agent != poll.Agent {
		if p.agent != "" {
			p.former[p.agent] = true
		}
		p.agent, p.sequence, p.taken, p.heard, p.poll, p.base = poll.Agent, 0, 0, 0, assignment.Poll{}, assignment.Poll{}
		p.wake()
		l.fences++
		p.fence = l.term<<fenceBits + l.fences
	}
	described := poll.Delta == nil
	if !described {
		var known bool
		if poll, known = poll.Expand(p.base); !known {
			return poll, true
		}
	}
	if poll.Sequence <= p.sequence {
		return poll, true
	}
	if described {
		p.base = poll
	}
	// What brings nothing to decide on is taken with the next decision: an agent polls twice a second, and if each of its polls made one,
	// decisions times workers would grow with the square of the workers.
	decides := p.decides(poll)
	p.sequence, p.poll, p.arrived, p.news = poll.Sequence, poll, l.heard, true
	p.noteLife(poll)
	if !decides {
		return poll, true
	}
	select {
	case l.news <- struct{}{}:
	default:
	}
	return poll, true
}

// askAnew is the answer to a poll that builds on one which is not known here: the agent is to describe the worker, and nothing follows from what it
// has not said.
func (l *leases) askAnew(poll assignment.Poll) (assignment.Answer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.agents[poll.Worker]
	if l.term == 0 || p == nil || p.agent != poll.Agent {
		return assignment.Answer{}, false
	}
	return assignment.Answer{Term: l.term, Fence: p.fence, AckedPoll: p.heard, BasePoll: p.base.Sequence}, true
}

// agentOf returns what is known of a worker. The lock must be held.
func (l *leases) agentOf(worker string) *agentLease {
	p := l.agents[worker]
	if p == nil {
		p = &agentLease{former: map[string]bool{}, published: make(chan struct{})}
		l.agents[worker] = p
	}
	return p
}

// expire marks as expired those of the workers whose last lease is surely over, and returns them. The newest lease is looked at
// under the same lock under which leases are given: an agent that comes back at this moment either gets one before, and
// its worker is not expired, or none.
func (l *leases) expire(workers map[string]bool, now, earliest time.Time) map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	over := map[string]bool{}
	if l.term == 0 {
		return over
	}
	for name := range workers {
		p := l.agentOf(name)
		base := earliest
		if p.granted.After(base) {
			base = p.granted
		}
		if now.After(base.Add(l.timing.leaseEnd())) {
			p.expired = true
			l.decided[p] = true
			over[name] = true
		}
	}
	return over
}

// fenceBits is the part of a fence that counts within a term: a million lives of agents.
const fenceBits = 20

// answer makes the answer to a poll as things stand. Urgent says that there is something to say.
func (l *leases) answer(poll assignment.Poll, arrived time.Time) (a assignment.Answer, urgent bool, published chan struct{}, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.agents[poll.Worker]
	if l.term == 0 || p == nil || p.agent != poll.Agent {
		return a, false, nil, false
	}
	l.looks.Inc(1)
	now := time.Now()
	lease := l.lease()
	if poll.State == nil || poll.Unresponsive || p.expired {
		// An agent that does not reach a worker has nothing to extend; what an earlier agent left there runs out.
		lease = 0
	}
	a = assignment.Answer{
		Term: l.term, Fence: p.fence,
		HeldMillis: now.Sub(arrived).Milliseconds(), LeaseMillis: lease.Milliseconds(), AckedPoll: p.heard, BasePoll: p.base.Sequence,
	}
	if lease > 0 {
		p.granted = now
	}
	if poll.State != nil {
		a.ZoneOpen, a.ZoneProofMillis = l.openZone(poll.State.Zone, now)
	}
	if !poll.Complete || poll.State == nil {
		// The agent needs its fence before it can list anything.
		return a, !poll.Complete && poll.State != nil, p.published, true
	}
	if !l.synced || p.expired || poll.State.ID != p.want.Incarnation {
		return a, false, p.published, true
	}
	a.Incarnation, a.AckedEnd = p.want.Incarnation, p.want.AckedEnd
	p.compare(poll, &a)
	urgent = len(a.Start) > 0 || len(a.Stop) > 0 || len(a.StopUnlisted) > 0 || a.AckedEnd > poll.AckedEnd
	return a, urgent, p.published, true
}

// openZone reports whether a zone is not cordoned, and how old the proof of that is in milliseconds, rounded up. It asks at the moment of
// the answer, not of the last decision: a leader that stands still in a decision says nothing that it has not read.
func (l *leases) openZone(zone string, now time.Time) (open bool, age int64) {
	cordons, proof := l.cordons()
	if proof.IsZero() || cordons.Has(zone) {
		return false, 0
	}
	return true, now.Sub(proof).Milliseconds() + 1
}

// compare puts into the answer what has to be started and stopped so that what runs is what is wanted.
func (p *agentLease) compare(poll assignment.Poll, a *assignment.Answer) {
	have := make(map[assignment.RunID]bool, len(poll.Runs)+len(poll.Ends)+len(poll.Refused))
	for _, r := range poll.Runs {
		have[r.RunID] = true
		if w, ok := p.want.Runs[r.Task]; !p.want.Held[r.Task.Job] && (!ok || w.Stopping || w.Start.Run != r.Run) {
			a.Stop = append(a.Stop, r.RunID)
		}
	}
	for _, e := range poll.Ends {
		have[e.RunID] = true
	}
	for _, r := range poll.Refused {
		have[r.RunID] = true
	}
	for _, w := range p.want.Runs {
		if w.Role != nil {
			a.Roles = append(a.Roles, *w.Role)
		}
		switch {
		case have[w.Start.RunID]:
		case w.Stopping:
			a.StopUnlisted = append(a.StopUnlisted, w.Start.RunID)
		case a.LeaseMillis > 0:
			a.Start = append(a.Start, w.Start)
		}
	}
}

// arrival is a poll, and when it came.
type arrival struct {
	poll assignment.Poll
	at   time.Time
}

// take returns the polls that are new since the last call, by worker.
func (l *leases) take() map[string]arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	polls := map[string]arrival{}
	for name, p := range l.agents {
		if p.news {
			polls[name] = arrival{poll: p.poll, at: p.arrived}
			p.news, p.taken = false, p.sequence
			l.decided[p] = true
		}
	}
	return polls
}

// publish puts what has been kept in force for the agents: what is wanted of the workers for which that has changed. Only their polls are
// looked at again, and those of agents that are no longer expired: waking all held polls at each decision is work that grows with the
// square of the workers.
func (l *leases) publish(changed map[string]dispatch.DesiredState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.decided {
		p.heard = p.taken
		if p.expired {
			p.expired = false
			p.wake()
		}
	}
	clear(l.decided)
	for name, want := range changed {
		p := l.agentOf(name)
		p.want = want
		p.wake()
	}
	if !l.synced {
		l.synced = true
		l.wakeAll()
	}
}
