package placement

import (
	"sort"
	"time"
)

// Profile has the parameters that trade completion time against fragmentation.
type Profile struct {
	// Reservations is the maximum number of waiting gangs with a reservation at the same time.
	Reservations int `json:"reservations"`
	// ReserveFrom is the smallest number of accelerators that gets a reservation.
	ReserveFrom int `json:"reserve_from"`
	// ShortFirst is the waiting time by which each hour of estimated run time sets a session back.
	ShortFirst time.Duration `json:"short_first_ns"`
	// LargeShortFirst is used instead of ShortFirst for gangs of ReserveFrom accelerators and more.
	LargeShortFirst time.Duration `json:"large_short_first_ns"`
	// NoBackfill keeps other sessions out of reserved accelerators even if they would end in time.
	NoBackfill bool `json:"no_backfill"`
	// Scoring chooses among the domains that fit; empty is ScoreBest.
	Scoring Scoring `json:"scoring"`
}

// Scoring names a Scorer.
type Scoring string

// The scorings.
const (
	ScoreFirst Scoring = "first"
	ScoreBest  Scoring = "best"
)

// CompletionProfile favors completion time: short sessions go ahead, and one large gang at a
// time has a reservation.
func CompletionProfile() Profile {
	return Profile{
		Reservations:    1,
		ReserveFrom:     8,
		ShortFirst:      20 * time.Hour,
		LargeShortFirst: 210 * time.Minute,
	}
}

// FragmentationProfile favors large gangs: their run time does not count against them, and two at a
// time have a reservation.
func FragmentationProfile() Profile {
	return Profile{
		Reservations: 2,
		ReserveFrom:  8,
		ShortFirst:   20 * time.Hour,
	}
}

// decider is the working state of one call of Decide.
type decider struct {
	input        Input
	profile      Profile
	topology     *Topology
	running      map[int64]*Running
	entitlements []Entitlement
	// free has the free accelerators.
	free *Capacity
	// unheld is free without what is held for sessions whose victims are stopping.
	unheld *Capacity
	// reclaimable has the free accelerators and those of borrowed placements.
	reclaimable *Capacity
	reserved    []reservation
	decisions   []Decision
	// awaiting has the sessions for which placements are stopping.
	awaiting map[string]bool
	// noFit has the searches that found no place since the free accelerators last changed. In a
	// full system most waiting sessions have one of a few shapes, so the same search would be
	// repeated.
	noFit map[search]bool
}

// search identifies a search by its shape and the reservations that it respects, one bit each.
type search struct {
	shape    Shape
	reserved uint64
}

// Decide returns what to do now. It starts sessions on free accelerators, reclaims borrowed
// ones for guaranteed and urgent sessions, and reserves accelerators for large waiting gangs.
func Decide(input Input, profile Profile) []Decision {
	d := newDecider(input, profile)
	for _, w := range d.order() {
		d.place(w)
	}
	return d.decisions
}

func newDecider(input Input, profile Profile) *decider {
	d := &decider{
		input:        input,
		profile:      profile,
		topology:     NewTopology(input.Workers),
		running:      make(map[int64]*Running, len(input.Running)),
		entitlements: append([]Entitlement(nil), input.Entitlements...),
		awaiting:     make(map[string]bool),
		noFit:        make(map[search]bool),
	}
	d.input.Workers = cloneHolders(input.Workers)
	d.input.Running = append([]Running(nil), input.Running...)
	for i := range d.input.Running {
		p := &d.input.Running[i]
		d.running[p.Token] = p
		if p.Stopping {
			d.awaiting[p.For] = true
		}
	}
	d.free = NewCapacity(d.topology, d.input.Workers, isFree)
	d.unheld = d.free.Clone()
	d.reclaimable = NewCapacity(d.topology, d.input.Workers, d.isReclaimable)
	return d
}

func cloneHolders(workers []Worker) []Worker {
	list := append([]Worker(nil), workers...)
	for i := range list {
		list[i].Holders = append([]int64(nil), list[i].Holders...)
	}
	return list
}

func isFree(holder int64) bool { return holder == 0 }

func (d *decider) isReclaimable(holder int64) bool {
	if holder == 0 {
		return true
	}
	p, found := d.running[holder]
	return found && p.Borrowed
}

// order sorts the waiting sessions: first those with an unused guarantee, the urgent ones
// ahead, then other urgent ones, then the rest. Within these classes the order is by priority.
// Guarantees come before urgency, because urgent sessions of other teams could otherwise take
// what was just reclaimed for an owner, again and again.
func (d *decider) order() []Waiting {
	list := append([]Waiting(nil), d.input.Waiting...)
	class := func(w Waiting) int {
		owner := d.entitlement(w) >= 0
		switch {
		case owner && w.Urgent:
			return 0
		case owner:
			return 1
		case w.Urgent:
			return 2
		}
		return 3
	}
	classes := make(map[string]int, len(list))
	for _, w := range list {
		classes[w.Session] = class(w)
	}
	sort.SliceStable(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if classes[a.Session] != classes[b.Session] {
			return classes[a.Session] < classes[b.Session]
		}
		pa, pb := d.priority(a), d.priority(b)
		if pa != pb {
			return pa > pb
		}
		return a.Session < b.Session
	})
	return list
}

// priority returns the waiting time less a malus for the estimated run time. The malus is
// smaller for gangs that can have a reservation, which would otherwise wait behind all short
// sessions.
func (d *decider) priority(w Waiting) time.Duration {
	malus := d.profile.ShortFirst
	if w.Shape.Accelerators >= d.profile.ReserveFrom {
		malus = d.profile.LargeShortFirst
	}
	return w.Waited - time.Duration(w.Estimate.Hours()*float64(malus))
}

// entitlement returns the index of the loosest unused guarantee of the session's team that
// covers it, or -1.
func (d *decider) entitlement(w Waiting) int {
	return UnusedEntitlement(d.entitlements, w.Team, w.Shape)
}

// UnusedEntitlement returns the index of the loosest unused guarantee of the team that covers
// the shape, or -1.
func UnusedEntitlement(list []Entitlement, team string, shape Shape) int {
	found := -1
	for i, e := range list {
		if e.Team != team || e.Used >= e.Count || !e.Shape.Covers(shape) {
			continue
		}
		if found < 0 || e.Shape.Adjacency.tightness() < list[found].Shape.Adjacency.tightness() {
			found = i
		}
	}
	return found
}

// place decides about one session.
func (d *decider) place(w Waiting) {
	held := d.entitlement(w)
	if held >= 0 && d.startHeld(w, held) {
		return
	}
	if held >= 0 {
		// What is reclaimed for the owner must have the adjacency of the guarantee.
		w.Shape = d.entitlements[held].Shape
	}
	if d.startBorrowed(w) {
		return
	}
	if d.awaitVictims(w) {
		return
	}
	if (held >= 0 || w.Urgent) && d.reclaim(w) {
		return
	}
	d.reserve(w)
}

func (d *decider) findPlace(c *Capacity, shape Shape) []share {
	if d.profile.Scoring == ScoreFirst {
		return findPlace(c, FirstFit{}, shape)
	}
	return findPlace(c, BestFit{}, shape)
}

// startHeld starts the session under a guarantee if it fits and the other guarantees stay feasible.
func (d *decider) startHeld(w Waiting, held int) bool {
	shares := d.findPlace(d.unheld, d.entitlements[held].Shape)
	if shares == nil {
		return false
	}
	after := append([]Entitlement(nil), d.entitlements...)
	after[held].Used++
	rest := d.reclaimable.Clone()
	rest.take(shares)
	if !Feasible(rest, after) {
		return false
	}
	d.entitlements = after
	d.reclaimable = rest
	d.start(w, shares, false)
	return true
}

// startBorrowed starts the session without a guarantee if it fits beside the reservations.
func (d *decider) startBorrowed(w Waiting) bool {
	s := search{shape: w.Shape, reserved: d.reservedFor(w)}
	if d.noFit[s] {
		return false
	}
	shares := d.findPlace(d.unreserved(s.reserved), w.Shape)
	if shares == nil {
		d.noFit[s] = true
		return false
	}
	d.start(w, shares, true)
	return true
}

func (d *decider) start(w Waiting, shares []share, borrowed bool) {
	list := members(d.input.Workers, shares, isFree)
	d.free.take(shares)
	d.unheld.take(shares)
	clear(d.noFit)
	d.markTaken(shares, list)
	d.decisions = append(d.decisions, Decision{Session: w.Session, Members: list, Borrowed: borrowed})
}

// takenHolder marks accelerators that were assigned in this call of Decide. They are neither
// free nor reclaimable.
const takenHolder = -1

func (d *decider) markTaken(shares []share, list []Member) {
	for i, s := range shares {
		for _, a := range list[i].Accelerators {
			d.input.Workers[s.worker].Holders[a] = takenHolder
		}
	}
}
