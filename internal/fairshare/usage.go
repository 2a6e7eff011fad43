package fairshare

import (
	"cmp"
	"iter"
)

// Usage is what each team holds of the shared capacity. The zero value is not usable; NewUsage
// returns a usage without teams.
type Usage[K comparable] struct{ amounts amounts[K] }

// NewUsage returns a usage without teams. weight returns the weight of a team.
func NewUsage[K comparable](weight func(K) float64) Usage[K] {
	return Usage[K]{newAmounts(weight)}
}

// With returns the usage with held capacity added to that of a team.
func (u Usage[K]) With(team K, held float64) Usage[K] {
	return Usage[K]{u.amounts.with(one(team, held))}
}

// WithAll returns the usage with all given capacity added. It copies the usage only once.
func (u Usage[K]) WithAll(held iter.Seq2[K, float64]) Usage[K] {
	return Usage[K]{u.amounts.with(held)}
}

// Scaled returns the usage with everything that is held multiplied by factor. Teams that then hold
// less than negligible are left out, so that a usage that decays forgets teams.
func (u Usage[K]) Scaled(factor, negligible float64) Usage[K] {
	scaled := func(yield func(K, float64) bool) {
		for team, held := range u.Held() {
			if left := held * factor; left >= negligible && !yield(team, left) {
				return
			}
		}
	}
	return NewUsage(u.amounts.weight).WithAll(scaled)
}

// Held returns the teams, in the order in which they were added, with what each holds.
func (u Usage[K]) Held() iter.Seq2[K, float64] {
	return func(yield func(K, float64) bool) {
		for _, team := range u.amounts.teams {
			if !yield(team, u.amounts.of[team]) {
				return
			}
		}
	}
}

// Of returns what a team holds, divided by its weight.
func (u Usage[K]) Of(team K) float64 { return u.amounts.of[team] / u.amounts.weightOf(team) }

// Compare compares the usage of two teams: it is negative if the first is to be served first.
func (u Usage[K]) Compare(a, b K) int { return cmp.Compare(u.Of(a), u.Of(b)) }

// StartTags returns the start tag of each unit of work (start-time fair queueing): the usage of its
// team when the unit starts, after all units of the team before it. The units are given with their
// teams and with what each takes; each team's units have to be in the order in which the team wants
// them. Serving the units by ascending tags lets teams alternate, and a team with a large unit is
// not kept waiting for the size of that unit, only for what the team has used before.
func (u Usage[K]) StartTags(units iter.Seq2[K, float64]) []float64 {
	var tags []float64
	next := make(map[K]float64)
	for team, size := range units {
		tag, known := next[team]
		if !known {
			tag = u.Of(team)
		}
		tags = append(tags, tag)
		next[team] = tag + size/u.amounts.weightOf(team)
	}
	return tags
}
