package dispatch

import (
	"cmp"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// A gang that prefers one rack is slow when it is spread over several racks, so it waits for one. The
// wait is limited, because a rack may never have enough free capacity: one of its workers may never
// return, or may run a long-running task. In a busy service a spread gang occupies capacity that
// other jobs need, so it waits longer there if a rack is expected to be free soon.
const (
	// rackWaitFactor is how long a gang waits for a rack, as a multiple of its duration. A spread gang
	// takes three times as long, so this is the time that spreading it costs.
	rackWaitFactor = 2
	// maxRackWait is the longest wait. Most crashed workers return within that time.
	maxRackWait = 5 * time.Second
	// maxBusyRackWait replaces it while the service is busy and a rack is expected to be free soon. It
	// is needed because every such prediction may be wrong.
	maxBusyRackWait = 15 * time.Second
	// idleShare is the share of a service's capacity below which the service is not busy.
	idleShare = 0.5
	// maxLongRunningRackWait replaces maxRackWait for long-running steps. It is shorter than the 3 s
	// within which callers expect their tasks to run if there is capacity.
	maxLongRunningRackWait = 2 * time.Second
)

// rackWait is the state of a gang's wait for a rack.
type rackWait byte

// The states of a wait for a rack.
const (
	// rackRequired: the gang is placed only within a rack.
	rackRequired rackWait = iota
	// rackPreferred: the gang is spread if no rack has enough free capacity, unless the service is
	// busy and a rack is expected to be free soon.
	rackPreferred
	// rackOptional: the gang is spread if no rack has enough free capacity.
	rackOptional
)

// prefersRack reports whether the tasks of a step should run in one rack.
func prefersRack(s job.Step) bool { return s.Gang && s.SameRack && s.DataRack == "" }

// rackWaitOf returns the state of a unit's wait for a rack.
func (p *plan) rackWaitOf(w waitingUnit) rackWait {
	since, waits := w.tracked.progress.AwaitsRackSince(w.first())
	waited := p.now.Sub(since)
	switch {
	case !waits || waited < rackWaitLimit(w):
		return rackRequired
	case w.step.LongRunning || waited >= maxBusyRackWait:
		return rackOptional
	}
	return rackPreferred
}

// rackWaitLimit returns how long a gang is placed only within a rack.
func rackWaitLimit(w waitingUnit) time.Duration {
	if w.step.LongRunning {
		return maxLongRunningRackWait
	}
	return min(rackWaitFactor*w.duration, maxRackWait)
}

// rackDomains returns the racks into which a gang would fit if they were empty, fullest first. They
// are followed by all nodes if the gang may be spread. A gang that is too large for every rack has
// all nodes as its only domain.
func (p *plan) rackDomains(w waitingUnit) []domain {
	var racks []*rack
	for _, r := range p.racks {
		if fitsEmpty(w, r.nodes, emptyWithAll) {
			racks = append(racks, r)
		}
	}
	if len(racks) == 0 {
		return []domain{{nodes: p.nodes}}
	}
	slices.SortFunc(racks, func(a, b *rack) int {
		return cmp.Or(
			p.compareRackEnds(w, a, b),
			cmp.Compare(a.free, b.free),
			cmp.Compare(a.order, b.order),
		)
	})
	var domains []domain
	for _, r := range racks {
		domains = append(domains, domain{nodes: r.nodes})
	}
	if w.rackWait != rackRequired {
		domains = append(domains, domain{nodes: p.nodes, fallback: true})
	}
	return domains
}

// prefersExpectedRack reports whether a gang that could be spread now waits for a rack that is
// expected to be free soon.
func (p *plan) prefersExpectedRack(w waitingUnit) bool {
	return w.rackWait == rackPreferred && p.placedShare(w.tracked.job.Service) >= idleShare && p.expectsRack(w)
}

// expectsRack reports whether a gang is expected to end sooner within a rack than if it is spread now.
func (p *plan) expectsRack(w waitingUnit) bool {
	limit := p.now.Add(rackWaitFactor * w.duration)
	return slices.ContainsFunc(p.domains(w), func(d domain) bool {
		if d.fallback {
			return false
		}
		o, ok := p.earliestFitIn(w, d.nodes)
		return ok && o.from.Before(limit)
	})
}

// spreadDelay returns how much longer a unit takes in a domain.
func spreadDelay(w waitingUnit, d domain) time.Duration {
	if !d.fallback {
		return 0
	}
	return rackWaitFactor * w.duration
}

// awaitsRack reports whether a gang that found no capacity waits only because it is placed within a
// rack, and records when that began: there is capacity for it in several racks, or no rack is expected
// to have enough.
func (p *plan) awaitsRack(w waitingUnit) bool {
	if !prefersRack(w.step) || w.rackWait != rackRequired {
		return false
	}
	if _, waits := w.tracked.progress.AwaitsRackSince(w.first()); waits {
		return true
	}
	if !p.anyRack(w, emptyWithAll) || p.anyRack(w, emptyDescribed) && !p.fitsSpread(w) {
		return false
	}
	p.awaitRack(w)
	return true
}

// anyRack reports whether a gang fits into a rack whose nodes have the given capacity.
func (p *plan) anyRack(w waitingUnit, capacity capacityFunc) bool {
	for _, r := range p.racks {
		if fitsEmpty(w, r.nodes, capacity) {
			return true
		}
	}
	return false
}

// fitsSpread reports whether there is capacity for a gang now if it is spread.
func (p *plan) fitsSpread(w waitingUnit) bool {
	key := searchOf(w)
	key.sameRack = false
	if p.failedSearches[key] {
		return false
	}
	if p.findIn(w, p.nodes, availableNow) == nil {
		p.failedSearches[key] = true
		return false
	}
	return true
}

// rackReason returns waitRack for a unit that waits only for a rack, and otherwise the given reason.
func rackReason(awaitsRack bool, why waitReason) waitReason {
	if awaitsRack && why != waitStops && why != waitCapacityInTime {
		return waitRack
	}
	return why
}
