package placement

import (
	"sort"
	"time"
)

// Profile holds the parameters that trade completion time against fragmentation.
type Profile struct {
	// Reservations is the maximum number of waiting gangs with a reservation at the same time.
	Reservations int `json:"reservations"`
	// ReserveFrom is the smallest number of accelerators that gets a reservation.
	ReserveFrom int `json:"reserve_from"`
	// ShortFirst is subtracted from a session's waiting time for each hour of its estimated run
	// time.
	ShortFirst time.Duration `json:"short_first_ns"`
	// LargeShortFirst replaces ShortFirst for gangs of at least ReserveFrom accelerators.
	LargeShortFirst time.Duration `json:"large_short_first_ns"`
	// NoBackfill keeps other sessions off reserved accelerators even if they are expected to end
	// before the reserved gang starts.
	NoBackfill bool `json:"no_backfill"`
	// Scoring selects among the domains that fit; the default is ScoreBest.
	Scoring Scoring `json:"scoring"`
}

// Scoring names a Scorer.
type Scoring string

// The available scorings.
const (
	ScoreFirst Scoring = "first"
	ScoreBest  Scoring = "best"
)

// CompletionProfile favors short completion times: short sessions start first, and one large gang
// at a time has a reservation.
func CompletionProfile() Profile {
	return Profile{
		Reservations:    1,
		ReserveFrom:     8,
		ShortFirst:      20 * time.Hour,
		LargeShortFirst: 210 * time.Minute,
	}
}

// FragmentationProfile favors large gangs: their run time does not lower their priority, and two at
// a time have a reservation.
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
	// free counts the free accelerators.
	free *Capacity
	// available is free without the accelerators that are held for sessions whose victims are
	// stopping.
	available *Capacity
	// reclaimable counts the free accelerators and those of borrowed placements.
	reclaimable *Capacity
	reserved    []reservation
	decisions   []Decision
	// reclaimingFor is the set of sessions for which placements are stopping.
	reclaimingFor map[string]bool
	// failedSearches caches the searches that found no place since the free accelerators last
	// changed. In a full system, most waiting sessions have one of a few shapes, so the same search
	// would be repeated.
	failedSearches map[search]bool
}

// search identifies a search by its shape and the reservations that it respects, one bit for each.
type search struct {
	shape    Shape
	reserved uint64
}

// Decide returns the decisions for the input. It starts sessions on free accelerators, reclaims
// borrowed accelerators for guaranteed and urgent sessions, and reserves accelerators for large
// waiting gangs.
func Decide(input Input, profile Profile) []Decision {
	d := newDecider(input, profile)
	for _, w := range d.order() {
		d.place(w)
	}
	return d.decisions
}

func newDecider(input Input, profile Profile) *decider {
	d := &decider{
		input:          input,
		profile:        profile,
		topology:       NewTopology(input.Workers),
		running:        make(map[int64]*Running, len(input.Running)),
		entitlements:   append([]Entitlement(nil), input.Entitlements...),
		reclaimingFor:  make(map[string]bool),
		failedSearches: make(map[search]bool),
	}
	d.input.Workers = cloneHolders(input.Workers)
	d.input.Running = append([]Running(nil), input.Running...)
	for i := range d.input.Running {
		p := &d.input.Running[i]
		d.running[p.Token] = p
		if p.Stopping {
			d.reclaimingFor[p.ReclaimedFor] = true
		}
	}
	d.free = NewCapacity(d.topology, d.input.Workers, isFree)
	d.available = d.free.Clone()
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

// order sorts the waiting sessions into classes: urgent sessions with an unused guarantee, other
// sessions with an unused guarantee, other urgent sessions, and the rest. Each class is sorted by
// priority. Guarantees take precedence over urgency; otherwise urgent sessions of other teams could
// repeatedly take the accelerators that were just reclaimed for the owner of a guarantee.
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

// priority returns the waiting time minus a penalty for the estimated run time. The penalty is
// smaller for gangs that can have a reservation, which would otherwise wait behind all short
// sessions.
func (d *decider) priority(w Waiting) time.Duration {
	penalty := d.profile.ShortFirst
	if w.Shape.Accelerators >= d.profile.ReserveFrom {
		penalty = d.profile.LargeShortFirst
	}
	return w.Waited - time.Duration(w.Estimate.Hours()*float64(penalty))
}

// entitlement returns the index of the loosest unused guarantee of the session's team that covers
// the session, or -1.
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

// place makes the decision, if any, for one session.
func (d *decider) place(w Waiting) {
	index := d.entitlement(w)
	if index >= 0 && d.startGuaranteed(w, index) {
		return
	}
	if index >= 0 {
		// Accelerators that are reclaimed for the owner must have the adjacency of the guarantee.
		w.Shape = d.entitlements[index].Shape
	}
	if d.startBorrowed(w) {
		return
	}
	if d.awaitReclaimed(w) {
		return
	}
	if (index >= 0 || w.Urgent) && d.reclaim(w) {
		return
	}
	d.reserve(w)
}

func (d *decider) findPlace(c *Capacity, shape Shape) []allocation {
	if d.profile.Scoring == ScoreFirst {
		return findPlace(c, FirstFit{}, shape)
	}
	return findPlace(c, BestFit{}, shape)
}

// startGuaranteed starts the session under a guarantee if it fits and the other guarantees stay
// feasible.
func (d *decider) startGuaranteed(w Waiting, index int) bool {
	allocations := d.findPlace(d.available, d.entitlements[index].Shape)
	if allocations == nil {
		return false
	}
	after := append([]Entitlement(nil), d.entitlements...)
	after[index].Used++
	rest := d.reclaimable.Clone()
	rest.allocate(allocations)
	if !Feasible(rest, after) {
		return false
	}
	d.entitlements = after
	d.reclaimable = rest
	d.start(w, allocations, false)
	return true
}

// startBorrowed starts the session without a guarantee if it fits without the reserved accelerators
// that it must not use.
func (d *decider) startBorrowed(w Waiting) bool {
	s := search{shape: w.Shape, reserved: d.reservedFor(w)}
	if d.failedSearches[s] {
		return false
	}
	allocations := d.findPlace(d.unreserved(s.reserved), w.Shape)
	if allocations == nil {
		d.failedSearches[s] = true
		return false
	}
	d.start(w, allocations, true)
	return true
}

func (d *decider) start(w Waiting, allocations []allocation, borrowed bool) {
	list := assignAccelerators(d.input.Workers, allocations, isFree)
	d.free.allocate(allocations)
	d.available.allocate(allocations)
	clear(d.failedSearches)
	d.markAssigned(allocations, list)
	d.decisions = append(d.decisions, Decision{Session: w.Session, Members: list, Borrowed: borrowed})
}

// assignedHolder marks accelerators that were assigned in this call of Decide. They are neither
// free nor reclaimable.
const assignedHolder = -1

func (d *decider) markAssigned(allocations []allocation, list []Member) {
	for i, s := range allocations {
		for _, a := range list[i].Accelerators {
			d.input.Workers[s.worker].Holders[a] = assignedHolder
		}
	}
}
