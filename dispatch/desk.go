package dispatch

import (
	"context"
	"sync"
	"time"

	"yarrowgrade.example/yarrowgrade/assignment"
	"yarrowgrade.example/yarrowgrade/job"
)

// wanted is a run that should be on a worker. Its role is nil if it shares nothing in a way of its own.
type wanted struct {
	start    assignment.Start
	stopping bool
	role     *assignment.Role
}

// place is what the desk knows of one worker and its agent.
type place struct {
	// agent is the newest life of the agent's process; former ones are not listened to any more.
	agent    string
	former   map[string]bool
	sequence int64
	fence    int64
	// poll is the newest one; news says that the control goroutine has not seen it yet.
	poll assignment.Poll
	news bool
	// granted is when the newest answer with a lease was sent.
	granted time.Time
	// sealed says that the control goroutine counts on the last lease being over: until it has published what follows from
	// that, the agent gets no lease and no orders.
	sealed bool

	// What the control goroutine has published for the life.
	life string
	want map[job.TaskName]wanted
	seen int64
	// taken is the sequence number of the poll that the control goroutine took last, heard that of the one whose news it
	// has kept.
	taken int64
	heard int64
}

// desk is where agents' polls meet the control goroutine. The handlers of polls read what was published and leave their
// news; they change nothing else.
type desk struct {
	timing Timing
	news   chan struct{}

	mu sync.Mutex
	// term is that in which this entry leads; zero if it does not.
	term   int64
	fences int64
	proof  time.Time
	synced bool
	// heard is when any agent polled last.
	heard  time.Time
	places map[string]*place
	// published is closed and replaced at each publication.
	published chan struct{}
}

func newDesk(timing Timing) *desk {
	return &desk{timing: timing, news: make(chan struct{}, 1), published: make(chan struct{})}
}

// open begins a term.
func (d *desk) open(term int64, proof time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.term, d.fences, d.proof, d.synced, d.heard = term, 0, proof, false, time.Now()
	d.places = map[string]*place{}
}

// close ends the term: polls are redirected from now on.
func (d *desk) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.term, d.places = 0, nil
	d.announce()
}

// prove notes that this entry led when a write that has been acknowledged was sent.
func (d *desk) prove(sent time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if sent.After(d.proof) {
		d.proof = sent
	}
}

// silence is for how long no agent has polled. It does not wait for the control goroutine, which may stand still as long as
// the log does not answer.
func (d *desk) silence(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.heard)
}

func (d *desk) announce() {
	close(d.published)
	d.published = make(chan struct{})
}

// lease is how long runs may be kept alive from now on: nothing once the proof of leadership is too old, because a
// successor counts on it.
func (d *desk) lease(now time.Time) time.Duration {
	if now.Sub(d.proof) > d.timing.Proof {
		return 0
	}
	return d.timing.Lease
}

// serve answers a poll, or returns false if this entry does not lead, or not in the term that the agent knows.
func (d *desk) serve(ctx context.Context, poll assignment.Poll) (assignment.Answer, bool) {
	arrived := time.Now()
	if !d.receive(poll) {
		return assignment.Answer{}, false
	}
	deadline := time.NewTimer(d.timing.Hold)
	defer deadline.Stop()
	for held := true; ; {
		answer, urgent, published, ok := d.answer(poll, arrived)
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

// receive takes the news of a poll.
func (d *desk) receive(poll assignment.Poll) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term == 0 || poll.Term > d.term {
		return false
	}
	d.heard = time.Now()
	p := d.placeOf(poll.Worker)
	if p.former[poll.Agent] {
		return false
	}
	if p.agent != poll.Agent {
		if p.agent != "" {
			p.former[p.agent] = true
		}
		p.agent, p.sequence, p.taken, p.heard = poll.Agent, 0, 0, 0
		d.fences++
		p.fence = d.term<<fenceBits + d.fences
	}
	if poll.Sequence <= p.sequence {
		return true
	}
	p.sequence, p.poll, p.news = poll.Sequence, poll, true
	select {
	case d.news <- struct{}{}:
	default:
	}
	return true
}

// placeOf returns what is known of a worker. The lock must be held.
func (d *desk) placeOf(worker string) *place {
	p := d.places[worker]
	if p == nil {
		p = &place{former: map[string]bool{}}
		d.places[worker] = p
	}
	return p
}

// sealOver seals those of the workers whose last lease is surely over, and returns them. The newest lease is looked at
// under the same lock under which leases are given: an agent that comes back at this moment either gets one before, and
// its worker is not sealed, or none.
func (d *desk) sealOver(workers map[string]bool, now, earliest time.Time) map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	over := map[string]bool{}
	if d.term == 0 {
		return over
	}
	for name := range workers {
		p := d.placeOf(name)
		base := earliest
		if p.granted.After(base) {
			base = p.granted
		}
		if now.After(base.Add(d.timing.over())) {
			p.sealed = true
			over[name] = true
		}
	}
	return over
}

// fenceBits is the part of a fence that counts within a term: a million lives of agents.
const fenceBits = 20

// answer makes the answer to a poll as things stand. Urgent says that there is something to say.
func (d *desk) answer(poll assignment.Poll, arrived time.Time) (a assignment.Answer, urgent bool, published chan struct{}, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.places[poll.Worker]
	if d.term == 0 || p == nil || p.agent != poll.Agent {
		return a, false, nil, false
	}
	now := time.Now()
	lease := d.lease(now)
	if poll.Life == nil || poll.Silent || p.sealed {
		// An agent that does not reach a worker has nothing to extend; what an earlier agent left there runs out.
		lease = 0
	}
	a = assignment.Answer{
		Term: d.term, Fence: p.fence,
		HeldMillis: now.Sub(arrived).Milliseconds(), LeaseMillis: lease.Milliseconds(), Heard: p.heard,
	}
	if lease > 0 {
		p.granted = now
	}
	if !poll.Listed || poll.Life == nil {
		// The agent needs its fence before it can list anything.
		return a, !poll.Listed && poll.Life != nil, d.published, true
	}
	if !d.synced || p.sealed || poll.Life.ID != p.life {
		return a, false, d.published, true
	}
	a.Life, a.Seen = p.life, p.seen
	p.compare(poll, &a)
	urgent = len(a.Start) > 0 || len(a.Stop) > 0 || len(a.Settle) > 0 || a.Seen > poll.Seen
	return a, urgent, d.published, true
}

// compare puts into the answer what has to be started and stopped so that what runs is what is wanted.
func (p *place) compare(poll assignment.Poll, a *assignment.Answer) {
	have := make(map[assignment.RunID]bool, len(poll.Runs)+len(poll.Ends)+len(poll.Refused))
	for _, r := range poll.Runs {
		have[r.RunID] = true
		if w, ok := p.want[r.Task]; !ok || w.stopping || w.start.Run != r.Run {
			a.Stop = append(a.Stop, r.RunID)
		}
	}
	for _, e := range poll.Ends {
		have[e.RunID] = true
	}
	for _, r := range poll.Refused {
		have[r.RunID] = true
	}
	for _, w := range p.want {
		if w.role != nil {
			a.Roles = append(a.Roles, *w.role)
		}
		switch {
		case have[w.start.RunID]:
		case w.stopping:
			a.Settle = append(a.Settle, w.start.RunID)
		case a.LeaseMillis > 0:
			a.Start = append(a.Start, w.start)
		}
	}
}

// take returns the polls that are new since the last call, by worker.
func (d *desk) take() map[string]assignment.Poll {
	d.mu.Lock()
	defer d.mu.Unlock()
	polls := map[string]assignment.Poll{}
	for name, p := range d.places {
		if p.news {
			polls[name], p.news, p.taken = p.poll, false, p.sequence
		}
	}
	return polls
}

// publication is what a worker should run.
type publication struct {
	life string
	want map[job.TaskName]wanted
	seen int64
}

// publish puts what has been kept in force for the agents.
func (d *desk) publish(all map[string]publication) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, p := range d.places {
		news := all[name]
		p.sealed = false
		p.life, p.want, p.seen, p.heard = news.life, news.want, news.seen, p.taken
	}
	d.synced = true
	d.announce()
}
