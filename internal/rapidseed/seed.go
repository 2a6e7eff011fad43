// Package rapidseed fixes the seed of package rapid, so that property-based tests generate the same
// cases in every run.
//
// # Usage
//
//	func TestMain(m *testing.M) { rapidseed.Main(m) }
//
// Use the flag -rapid.seed=N to generate other cases. A failing test prints its seed.
package rapidseed

import (
	"flag"
	"os"
	"testing"
)

// defaultSeed is used if the command line sets no seed.
const defaultSeed = "20261202"

// Main runs the tests of a package and exits. It uses defaultSeed unless the command line sets
// another seed.
func Main(m *testing.M) {
	flag.Parse()
	seed := flag.Lookup("rapid.seed")
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f == seed })
	if seed != nil && !given {
		if err := seed.Value.Set(defaultSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
