// Package oracle holds the system-level proofs of yarrowgrade (in its tests) and what drawn tests in all packages share.
//
// # Usage
//
//	func TestMain(m *testing.M) { oracle.Main(m) }
//
// Drawn tests then draw the same cases in every run. Give -rapid.seed=N to draw others; a failure prints its seed.
package oracle

import (
	"flag"
	"os"
	"testing"
)

// defaultSeed is the seed of every run that is given no other.
const defaultSeed = "20261202"

// Main runs the tests of a package with a fixed seed for package rapid, unless the command line gives one.
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
