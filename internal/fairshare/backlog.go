package fairshare

import "iter"

// Backlog is the work of each team that is not done yet. The zero value is not usable; New returns
// an empty backlog.
type Backlog[K comparable] struct{ amounts amounts[K] }

// New returns an empty backlog. weight returns the weight of a team.
func New[K comparable](weight func(K) float64) Backlog[K] {
	return Backlog[K]{newAmounts(weight)}
}

// With returns the backlog with work added to that of a team.
func (b Backlog[K]) With(team K, work float64) Backlog[K] {
	return Backlog[K]{b.amounts.with(one(team, work))}
}

// WithAll returns the backlog with all given work added. It copies the backlog only once.
func (b Backlog[K]) WithAll(work iter.Seq2[K, float64]) Backlog[K] {
	return Backlog[K]{b.amounts.with(work)}
}

// Of returns the backlog of a team, which is zero for an unknown team.
func (b Backlog[K]) Of(team K) float64 { return b.amounts.of[team] }

// Total returns the backlog of all teams.
func (b Backlog[K]) Total() float64 {
	total := 0.0
	for _, team := range b.amounts.teams {
		total += b.amounts.of[team]
	}
	return total
}

// Wait returns the work that is done for all teams before the end of new work of the given team,
// without the new work itself. Under generalized processor sharing, each other team is served in
// proportion to its weight while the team's own backlog and the new work are served, but no more
// than it has:
//
//	sum over teams i of min(B[i], (B[team] + work) x weight[i] / weight[team])
//
// The sum is exact if the teams' backlogs don't grow. It is never more than Total.
func (b Backlog[K]) Wait(team K, work float64) float64 {
	own := (b.amounts.of[team] + work) / b.amounts.weightOf(team)
	wait := 0.0
	for _, t := range b.amounts.teams {
		wait += min(b.amounts.of[t], own*b.amounts.weightOf(t))
	}
	return wait
}
