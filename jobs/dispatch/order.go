package dispatch

import (
	"cmp"
	"slices"
)

// criterion is a comparison of two waiting units; the first criterion that tells them apart decides
// which is placed first.
type criterion struct {
	// mechanism disables the criterion if it is switched off; empty if it always applies.
	mechanism Mechanism
	compare   func(a, b waitingUnit) int
}

// criteria returns the order of the queue: by priority; guaranteed jobs first, expired ones last;
// then by objective. Jobs that can still be on time come before late ones, jobs of teams that have
// used less of an overloaded service before those of others (shares.go). Small urgent jobs come
// before large ones: most of them fit beside a large one, which is hardly delayed by them.
func criteria() []criterion {
	return []criterion{
		{compare: func(a, b waitingUnit) int { return cmp.Compare(a.tracked.job.Priority, b.tracked.job.Priority) }},
		{compare: func(a, b waitingUnit) int { return compareBool(b.guaranteed, a.guaranteed) }},
		{HoldFreedCapacity, func(a, b waitingUnit) int { return compareBool(b.preempting, a.preempting) }},
		{ExpiredLast, func(a, b waitingUnit) int { return compareBool(a.expired, b.expired) }},
		{InTimeFirst, func(a, b waitingUnit) int { return compareBool(a.urgent() && a.late, b.urgent() && b.late) }},
		{OnTimeUnderOverload, func(a, b waitingUnit) int {
			return compareBool(!a.urgent() && a.late, !b.urgent() && b.late)
		}},
		{TeamShares, func(a, b waitingUnit) int { return cmp.Compare(a.startTag, b.startTag) }},
		{SmallFirst, compareUrgentWork},
		{FinishBegun, compareTurns},
		{compare: compareObjectives},
	}
}

// orderOf returns the comparison by all criteria that the policy enables.
func orderOf(policy Policy) func(a, b waitingUnit) int { return compareBy(criteria(), policy) }

// compareBy returns the comparison by those of the criteria that the policy enables.
func compareBy(all []criterion, policy Policy) func(a, b waitingUnit) int {
	var enabled []criterion
	for _, c := range all {
		if c.mechanism == "" || policy.Has(c.mechanism) {
			enabled = append(enabled, c)
		}
	}
	return func(a, b waitingUnit) int {
		for _, c := range enabled {
			if order := c.compare(a, b); order != 0 {
				return order
			}
		}
		return 0
	}
}

// reorderBy returns units that are sorted by orderOf after the values that the criterion of a
// mechanism compares have been set. Only units that the criteria before it don't tell apart change
// places, so this takes a small part of the time of another sort by all criteria.
func reorderBy(m Mechanism, policy Policy, sorted []waitingUnit) []waitingUnit {
	all := criteria()
	at := slices.IndexFunc(all, func(c criterion) bool { return c.mechanism == m })
	before := compareBy(all[:at], policy)
	places := make([]int, len(sorted))
	for first := 0; first < len(sorted); {
		end := first
		for end < len(sorted) && before(sorted[first], sorted[end]) == 0 {
			places[end] = end
			end++
		}
		slices.SortFunc(places[first:end], func(a, b int) int {
			return cmp.Or(all[at].compare(sorted[a], sorted[b]), cmp.Compare(a, b))
		})
		first = end
	}
	reordered := make([]waitingUnit, len(sorted))
	for i, place := range places {
		reordered[i] = sorted[place]
	}
	return reordered
}

// compareUrgentWork orders the smaller of two urgent jobs first.
func compareUrgentWork(a, b waitingUnit) int {
	if !a.urgent() || !b.urgent() {
		return 0
	}
	return cmp.Compare(a.work, b.work)
}

// compareObjectives orders by objective, and otherwise as jobs name their units.
func compareObjectives(a, b waitingUnit) int {
	return cmp.Or(
		a.due.Compare(b.due),
		cmp.Compare(a.tracked.job.ID, b.tracked.job.ID),
		cmp.Compare(a.unit.Round, b.unit.Round),
		cmp.Compare(a.unit.Step, b.unit.Step),
		cmp.Compare(a.first().Index, b.first().Index),
	)
}
