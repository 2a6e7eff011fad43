package placement

import (
	"testing"

	"pgregory.net/rapid"
)

// TestReclaimEnds checks that reclaiming terminates: a session with an unused guarantee starts
// within a bounded number of rounds, although urgent sessions compete for the accelerators and
// reclaimed sessions are queued again at once.
func TestReclaimEnds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		in := drawInput(rt)
		in.Running = nil
		for i := range in.Workers {
			in.Workers[i].Holders = make([]int64, len(in.Workers[i].Holders))
		}
		if !Feasible(NewCapacity(NewTopology(in.Workers), in.Workers, isFree), in.Entitlements) {
			return
		}
		owner := -1
		for i, w := range in.Waiting {
			if UnusedEntitlement(in.Entitlements, w.Team, w.Shape) >= 0 {
				owner = i
			}
		}
		if owner < 0 {
			return
		}
		name := in.Waiting[owner].Session
		late := in.Waiting[owner]
		in.Waiting = append(in.Waiting[:owner:owner], in.Waiting[owner+1:]...)
		for i := range in.Waiting {
			if in.Waiting[i].Team == late.Team {
				in.Waiting[i].Team = "none" // another session of the team would use the guarantee first
			}
		}
		sim := &simulation{in: in, token: 100}
		sim.run(3)
		sim.in.Waiting = append(sim.in.Waiting, late)
		if !sim.run(12)[name] {
			rt.Fatalf("%s has a guarantee but is not running: %+v", name, sim.in)
		}
	})
}

// simulation applies decisions in rounds. Reclaimed sessions are queued again. Victims of one
// decision are released one at a time, because that gives other sessions the most opportunities to
// take the accelerators.
type simulation struct {
	in               Input
	token            int64
	waitingBySession map[string]Waiting
}

func (r *simulation) run(n int) map[string]bool {
	if r.waitingBySession == nil {
		r.waitingBySession = map[string]Waiting{}
	}
	started := map[string]bool{}
	for _, p := range r.in.Running {
		started[p.Session] = true
	}
	for range n {
		for _, w := range r.in.Waiting {
			r.waitingBySession[w.Session] = w
		}
		for _, d := range Decide(r.in, CompletionProfile()) {
			r.apply(d, started)
		}
		r.releaseOne(started)
	}
	return started
}

func (r *simulation) apply(d Decision, started map[string]bool) {
	for _, token := range d.Victims {
		for i := range r.in.Running {
			if r.in.Running[i].Token == token {
				r.in.Running[i].Stopping, r.in.Running[i].ReclaimedFor = true, d.Session
			}
		}
	}
	if len(d.Members) == 0 {
		return
	}
	r.token++
	started[d.Session] = true
	w := r.waitingBySession[d.Session]
	for _, m := range d.Members {
		for _, a := range m.Accelerators {
			r.in.Workers[workerIndex(r.in, m.Worker)].Holders[a] = r.token
		}
	}
	if i := UnusedEntitlement(r.in.Entitlements, w.Team, w.Shape); i >= 0 && !d.Borrowed {
		r.in.Entitlements[i].Used++
	}
	r.in.Running = append(r.in.Running, Running{
		Token:    r.token,
		Session:  d.Session,
		Team:     w.Team,
		Shape:    w.Shape,
		Borrowed: d.Borrowed,
		Urgent:   w.Urgent,
	})
	for i, other := range r.in.Waiting {
		if other.Session == d.Session {
			r.in.Waiting = append(r.in.Waiting[:i:i], r.in.Waiting[i+1:]...)
			break
		}
	}
}

func (r *simulation) releaseOne(started map[string]bool) {
	for i, p := range r.in.Running {
		if !p.Stopping {
			continue
		}
		for _, w := range r.in.Workers {
			for a, h := range w.Holders {
				if h == p.Token {
					w.Holders[a] = 0
				}
			}
		}
		started[p.Session] = false
		r.in.Running = append(r.in.Running[:i:i], r.in.Running[i+1:]...)
		r.in.Waiting = append(r.in.Waiting, r.waitingBySession[p.Session])
		return
	}
}
