package placement

import (
	"testing"

	"pgregory.net/rapid"
)

// TestReclaimEnds plays an owner and an urgent session against borrowers that come back at
// once. Each gets its room after a bounded number of rounds, in its shape.
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
		sim := &rounds{in: in, token: 100}
		sim.run(3)
		sim.in.Waiting = append(sim.in.Waiting, late)
		if !sim.run(12)[name] {
			rt.Fatalf("%s has a guarantee and does not run: %+v", name, sim.in)
		}
	})
}

// rounds applies decisions round by round. What is taken back waits again; victims of one
// decision are released one at a time, which is the hard case.
type rounds struct {
	in    Input
	token int64
	specs map[string]Waiting
}

func (r *rounds) run(n int) map[string]bool {
	if r.specs == nil {
		r.specs = map[string]Waiting{}
	}
	started := map[string]bool{}
	for _, p := range r.in.Running {
		started[p.Session] = true
	}
	for range n {
		for _, w := range r.in.Waiting {
			r.specs[w.Session] = w
		}
		for _, d := range Decide(r.in, CompletionProfile()) {
			r.apply(d, started)
		}
		r.releaseOne(started)
	}
	return started
}

func (r *rounds) apply(d Decision, started map[string]bool) {
	for _, token := range d.Victims {
		for i := range r.in.Running {
			if r.in.Running[i].Token == token {
				r.in.Running[i].Stopping, r.in.Running[i].For = true, d.Session
			}
		}
	}
	if len(d.Members) == 0 {
		return
	}
	r.token++
	started[d.Session] = true
	w := r.specs[d.Session]
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

func (r *rounds) releaseOne(started map[string]bool) {
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
		r.in.Waiting = append(r.in.Waiting, r.specs[p.Session])
		return
	}
}
