package ledger

import (
	"strconv"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/sessions/placement"
)

func decimal(n int64) string { return strconv.FormatInt(n, 10) }

// place assigns accelerators to all members of a gang, or rejects the record.
func (s State) place(offset, at int64, p Place) (State, error) {
	session, found := s.sessions.Get(p.Session)
	if !found {
		return s, fault.BadField("session", "%q is not known", p.Session)
	}
	if session.Phase != SessionWaiting {
		return s, fault.BadField("session", "%q is %s", p.Session, session.Phase)
	}
	shape, err := s.requiredShape(session, p.Borrowed)
	if err != nil {
		return s, err
	}
	if err := s.checkMembers(shape, p.Members); err != nil {
		return s, err
	}
	made := Placement{
		Token:    offset,
		Session:  session.Name,
		Team:     session.Team,
		Shape:    session.Shape,
		Borrowed: p.Borrowed,
		Phase:    Preparing,
		Members:  p.Members,
		Since:    at,
	}
	next := s.withPlacement(made)
	for _, m := range p.Members {
		w, _ := next.workers.Get(m.Worker)
		next = next.withWorker(w.WithHolder(m.Accelerators, offset, offset))
	}
	session.Phase, session.Token, session.Since = SessionPlaced, offset, at
	next.sessions = next.sessions.Set(session.Name, session)
	if !p.Borrowed {
		if err := s.checkGuarantees(next); err != nil {
			return s, err
		}
	}
	return next, nil
}

// requiredShape returns the shape that the members must have: the shape of the session or, if the
// placement is not borrowed, the shape of the guarantee that it uses.
func (s State) requiredShape(session Session, borrowed bool) (placement.Shape, error) {
	if borrowed {
		return session.Shape, nil
	}
	entitlements := s.Entitlements()
	i := placement.UnusedEntitlement(entitlements, session.Team, session.Shape)
	if i < 0 {
		return placement.Shape{}, fault.BadField("borrowed",
			"team %q has no unused guarantee for %d accelerators in one %s",
			session.Team, session.Shape.Accelerators, session.Shape.Adjacency)
	}
	return entitlements[i].Shape, nil
}

// checkMembers checks that the members have the shape, and that their accelerators are free and
// their workers not leaving.
func (s State) checkMembers(shape placement.Shape, members []placement.Member) error {
	count := 0
	regions, zones, racks, names := map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, m := range members {
		w, found := s.workers.Get(m.Worker)
		if !found {
			return fault.BadField("members.worker", "%q is not known", m.Worker)
		}
		if w.Leaving {
			return fault.BadField("members.worker", "%q is leaving", m.Worker)
		}
		if names[w.Name] {
			return fault.BadField("members.worker", "%q is named twice", m.Worker)
		}
		regions[w.Region], zones[w.Region+"/"+w.Zone] = true, true
		racks[w.Region+"/"+w.Zone+"/"+w.Rack], names[w.Name] = true, true
		if err := checkFree(w, m.Accelerators); err != nil {
			return err
		}
		count += len(m.Accelerators)
	}
	if count != shape.Accelerators {
		return fault.BadField("members", "have %d accelerators, want %d", count, shape.Accelerators)
	}
	if len(regions) > 1 {
		return fault.BadField("members", "are in %d regions, which may lose each other", len(regions))
	}
	apart := (shape.Adjacency == placement.SameWorker && len(names) > 1) ||
		(shape.Adjacency == placement.SameRack && len(racks) > 1) ||
		(shape.Adjacency == placement.SameZone && len(zones) > 1)
	if apart {
		return fault.BadField("members", "do not share one %s", shape.Adjacency)
	}
	return nil
}

func checkFree(w Worker, accelerators []int) error {
	if len(accelerators) == 0 {
		return fault.BadField("members.accelerators", "%q has none", w.Name)
	}
	last := -1
	for _, a := range accelerators {
		if a <= last || a >= len(w.Holders) {
			return fault.BadField("members.accelerators", "want growing numbers below %d, got %v",
				len(w.Holders), accelerators)
		}
		if w.Holders[a] != 0 {
			return fault.BadField("members.accelerators", "%d of %q is held by placement %d", a, w.Name, w.Holders[a])
		}
		last = a
	}
	return nil
}

// checkGuarantees checks that a placement that uses a guarantee does not increase the number of
// guarantees that cannot be met. Some may already be unmet, for example after the loss of workers.
// Borrowed placements need no check, because they can be reclaimed.
func (s State) checkGuarantees(next State) error {
	if short := next.Shortfall(); len(short) > len(s.Shortfall()) {
		return fault.BadField("members", "team %q could not have its guarantee of %d accelerators back",
			short[0].Team, short[0].Shape.Accelerators)
	}
	return nil
}

// Entitlements returns all guarantees, each with the number of placements that use it.
func (s State) Entitlements() []placement.Entitlement {
	var list []placement.Entitlement
	for _, t := range s.Teams() {
		for _, g := range t.Guarantees {
			list = append(list, placement.Entitlement{Team: t.Name, Shape: g.Shape, Count: g.Count})
		}
	}
	for _, p := range s.Placements() {
		if p.Borrowed {
			continue
		}
		if i := placement.UnusedEntitlement(list, p.Team, p.Shape); i >= 0 {
			list[i].Used++
		}
	}
	return list
}

// Shortfall returns the guarantees that could not be met even if all borrowed accelerators were
// reclaimed. It is empty unless workers were lost or the guarantees exceed the capacity.
func (s State) Shortfall() []placement.Entitlement {
	workers := s.PlacementWorkers()
	borrowed := make(map[int64]bool)
	for _, p := range s.Placements() {
		borrowed[p.Token] = p.Borrowed
	}
	usable := func(holder int64) bool { return holder == 0 || borrowed[holder] }
	capacity := placement.NewCapacity(placement.NewTopology(workers), workers, usable)
	return placement.Shortfall(capacity, s.Entitlements())
}

// PlacementWorkers returns the workers that have accelerators and are not leaving.
func (s State) PlacementWorkers() []placement.Worker {
	list := make([]placement.Worker, 0, s.workers.Len())
	for _, w := range s.Workers() {
		if w.Leaving || w.Accelerators == 0 {
			continue
		}
		list = append(list, placement.Worker{
			Name:    w.Name,
			Rack:    w.Rack,
			Zone:    w.Zone,
			Region:  w.Region,
			Holders: w.Holders,
		})
	}
	return list
}

func (s State) withPlacement(p Placement) State {
	s.placements = s.placements.Set(p.Token, p)
	return s
}

// markChanged marks the workers of a placement as changed, so that their agents get a new view.
func (s State) markChanged(offset int64, p Placement) State {
	for _, m := range p.Members {
		if w, found := s.workers.Get(m.Worker); found {
			s = s.withWorker(w.WithRevision(offset))
		}
	}
	return s
}

func (s State) start(offset int64, r Start) (State, error) {
	p, found := s.placements.Get(r.Token)
	if !found {
		return s, fault.BadField("token", "no placement %d", r.Token)
	}
	if p.Phase != Preparing {
		return s, fault.BadField("token", "placement %d is %s", r.Token, p.Phase)
	}
	p.Phase = Running
	return s.withPlacement(p).markChanged(offset, p), nil
}

func (s State) stop(offset int64, r Stop) (State, error) {
	p, found := s.placements.Get(r.Token)
	if !found {
		return s, fault.BadField("token", "no placement %d", r.Token)
	}
	if p.Phase == Stopping {
		return s, fault.BadField("token", "placement %d is stopping already", r.Token)
	}
	if r.For != "" && !p.Borrowed {
		return s, fault.BadField("token", "placement %d uses its team's guarantee and does not yield", r.Token)
	}
	return s.stopPlacement(offset, r.Token, r.Reason, r.For), nil
}

// stopPlacement moves a placement to Stopping. Its session keeps the token until the last
// member is released.
func (s State) stopPlacement(offset, token int64, reason, beneficiary string) State {
	p, found := s.placements.Get(token)
	if !found || p.Phase == Stopping {
		return s
	}
	p.Phase, p.Reason, p.For = Stopping, reason, beneficiary
	return s.withPlacement(p).markChanged(offset, p)
}

// placedSession returns a placement and its session. It returns an error if the session has ended
// or has another placement.
func (s State) placedSession(token int64) (Placement, Session, error) {
	p, found := s.placements.Get(token)
	if !found {
		return p, Session{}, fault.BadField("token", "no placement %d", token)
	}
	session, found := s.sessions.Get(p.Session)
	if !found || session.Token != token {
		return p, session, fault.BadField("token", "session %q has ended or moved on", p.Session)
	}
	return p, session, nil
}

func (s State) finish(offset, at int64, r Finish) (State, error) {
	p, session, err := s.placedSession(r.Token)
	if err != nil {
		return s, err
	}
	if p.Phase != Running {
		return s, fault.BadField("token", "placement %d is %s", r.Token, p.Phase)
	}
	s = s.stopPlacement(offset, r.Token, "finished", "")
	return s.endSession(offset, at, session, SessionFinished), nil
}

// checkpoint records the saved work from which the session resumes if a member is lost.
func (s State) checkpoint(r Checkpoint) (State, error) {
	_, session, err := s.placedSession(r.Token)
	if err != nil {
		return s, err
	}
	session.Progress = max(session.Progress, r.Progress)
	s.sessions = s.sessions.Set(session.Name, session)
	return s, nil
}

// release frees the accelerators of one member and stops the rest of the gang. After the last
// release the session waits again unless it has ended.
func (s State) release(offset, at int64, r Release) (State, error) {
	p, found := s.placements.Get(r.Token)
	if !found {
		return s, fault.BadField("token", "no placement %d", r.Token)
	}
	m, found := p.Member(r.Worker)
	if !found || p.IsReleased(r.Worker) {
		return s, fault.BadField("worker", "placement %d holds nothing on %q", r.Token, r.Worker)
	}
	if r.Cause != StoppedByAgent && r.Cause != WorkerGone {
		return s, fault.BadField("cause", "want %s or %s, got %q", StoppedByAgent, WorkerGone, r.Cause)
	}
	if p.Phase != Stopping {
		s = s.stopPlacement(offset, r.Token, "lost member "+r.Worker, "")
		p, _ = s.placements.Get(r.Token)
	}
	w, _ := s.workers.Get(r.Worker)
	w = w.WithHolder(m.Accelerators, 0, offset)
	if r.Cause == WorkerGone {
		w.Leaving = true
	}
	s = s.withWorker(w)
	p = p.withReleased(r)
	if len(p.Released) < len(p.Members) {
		return s.withPlacement(p), nil
	}
	s.placements = s.placements.Delete(p.Token)
	return s.requeueSession(at, p), nil
}

// withReleased returns the placement with another member released.
func (p Placement) withReleased(r Release) Placement {
	if len(p.Released) == 0 || r.Progress < p.Progress {
		p.Progress = r.Progress
	}
	p.Released = append(append([]string(nil), p.Released...), r.Worker)
	return p
}

// requeueSession returns the session of an ended placement to the waiting phase. It resumes from
// the newest checkpoint that all members have.
func (s State) requeueSession(at int64, p Placement) State {
	session, found := s.sessions.Get(p.Session)
	if !found || session.Token != p.Token {
		return s
	}
	// A member without a checkpoint reports zero, which makes the placement's progress zero.
	session.Progress = max(session.Progress, p.Progress)
	session.Phase, session.Token, session.Since = SessionWaiting, 0, at
	session.Restarts++
	s.sessions = s.sessions.Set(session.Name, session)
	return s
}

// Preparing reports whether any placement is in the Preparing phase, which has a timeout.
func (s State) Preparing() bool {
	for itr := s.placements.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		if p.Phase == Preparing {
			return true
		}
	}
	return false
}

// DecisionInput returns the input for the placement decision. yieldRank returns the yield rank of a
// placement.
func (s State) DecisionInput(now time.Time, yieldRank func(Placement) int) placement.Input {
	in := placement.Input{Workers: s.PlacementWorkers(), Entitlements: s.Entitlements()}
	for _, p := range s.Placements() {
		session, _ := s.sessions.Get(p.Session)
		ran := Age(p.Since, now)
		in.Running = append(in.Running, placement.Running{
			Token:        p.Token,
			Session:      p.Session,
			Team:         p.Team,
			Shape:        p.Shape,
			Borrowed:     p.Borrowed,
			Urgent:       session.Urgent,
			Stopping:     p.Phase == Stopping,
			ReclaimedFor: p.For,
			YieldRank:    yieldRank(p),
			Unsaved:      ran,
			Remaining:    max(0, session.workTime()-session.Progress-ran),
		})
	}
	for _, session := range s.Waiting() {
		in.Waiting = append(in.Waiting, placement.Waiting{
			Session:  session.Name,
			Team:     session.Team,
			Shape:    session.Shape,
			Urgent:   session.Urgent,
			Waited:   Age(session.Since, now),
			Estimate: max(0, session.workTime()-session.Progress),
		})
	}
	return in
}

func (s Session) workTime() time.Duration { return time.Duration(s.Work) * time.Second }
