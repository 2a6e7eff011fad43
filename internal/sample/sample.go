// Package sample draws a random sample. It owns no state and relies on the runtime's random
// numbers.
//
// # Usage
//
//	for _, address := range sample.Draw(addresses, 3) { ... }
package sample

import (
	"math/rand/v2"
	"slices"
)

// Draw returns n of the addresses at random, or all of them if there are no more. Processes that
// ask a few peers instead of all keep the load on each peer independent of the size of the fleet.
func Draw(addresses []string, n int) []string {
	drawn := slices.Clone(addresses)
	rand.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:min(n, len(drawn))]
}
