// Package fairshare divides a shared capacity among teams in proportion to their weights. It holds
// the arithmetic alone, without side effects and without a clock; the schedulers of jobs and of
// sessions decide with it.
//
// Backlog estimates how long work waits under generalized processor sharing: at any time, each team
// with a backlog is served in proportion to its weight. Usage compares teams by what they hold per
// weight; the team with the least usage is served first, which approximates that sharing.
//
// Both types are immutable values: methods that change something return a new value. The unit of
// work and of held capacity is the caller's. A weight that is not a positive number counts as
// DefaultWeight, so that a team without a weight is served like most.
//
// It is made for a capacity that a few teams ask for most of, beside teams with little work, which
// should not wait for the whole queue of the others.
//
// # Usage
//
//	equal := func(team string) float64 { return fairshare.DefaultWeight }
//	backlog := fairshare.New(equal).With("maps", 120).With("mail", 34_000)
//	wait := backlog.Wait("maps", 30) // 270: its own 120, and 120 + 30 of mail
//
//	usage := fairshare.NewUsage(equal).With("maps", 0.1).With("mail", 0.5)
//	first := usage.Compare("maps", "mail") < 0 // true: maps holds less per weight
package fairshare

import (
	"maps"
	"math"
)

// DefaultWeight is the weight of a team for which no weight is configured.
const DefaultWeight = 1.0

// ValidWeight returns a weight, or DefaultWeight for one that is not a positive and finite number.
func ValidWeight(weight float64) float64 {
	if !(weight > 0) || math.IsInf(weight, 1) {
		return DefaultWeight
	}
	return weight
}

// amounts holds an amount for each team. Teams are kept in the order in which they were added, so
// that sums of floating-point numbers don't depend on the iteration order of a map.
type amounts[K comparable] struct {
	weight func(K) float64
	teams  []K
	of     map[K]float64
}

func newAmounts[K comparable](weight func(K) float64) amounts[K] {
	return amounts[K]{weight: weight}
}

// with returns the amounts with the given ones added. It copies all teams once.
func (a amounts[K]) with(added func(yield func(K, float64) bool)) amounts[K] {
	teams, of := append([]K(nil), a.teams...), maps.Clone(a.of)
	if of == nil {
		of = make(map[K]float64)
	}
	for team, amount := range added {
		if _, known := of[team]; !known {
			teams = append(teams, team)
		}
		of[team] += amount
	}
	return amounts[K]{weight: a.weight, teams: teams, of: of}
}

// weightOf returns the weight of a team, which is always positive and finite.
func (a amounts[K]) weightOf(team K) float64 { return ValidWeight(a.weight(team)) }

// one returns a sequence of a single pair.
func one[K comparable](team K, amount float64) func(yield func(K, float64) bool) {
	return func(yield func(K, float64) bool) { yield(team, amount) }
}
