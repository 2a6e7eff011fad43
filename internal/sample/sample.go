// Package sample draws random samples. It holds no state and uses the global generator of
// math/rand/v2.
//
// # Usage
//
//	for _, address := range sample.Draw(addresses, 3) { ... }
package sample

import (
	"math/rand/v2"
	"slices"
)

// Draw returns n randomly chosen addresses, or all addresses in random order if there are fewer
// than n. Querying only a few random peers keeps the load on each peer independent of the fleet
// size.
func Draw(addresses []string, n int) []string {
	drawn := slices.Clone(addresses)
	rand.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:min(n, len(drawn))]
}
