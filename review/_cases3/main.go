// Program cases runs the cases of the third review against the project's programs, as separate processes
// on loopback addresses.
//
//	cases NAME RECORD
//
// It exits with 1 if the case's rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
)

// result is the outcome of a case.
type result int

const (
	held result = iota
	broken
	notRun
)

var cases = map[string]func(recordPath string, trouble bool) (result, error){
	"sharing":         unusableAfterSharing,
	"reclaim-lasting": reclaimFromLasting,
	"redirected":      redirectedQueue,
	"cancel-cut":      cancelAtCutEntry,
	"reclaim-rack":    reclaimAcrossRacks,
	// These two are checks that are no cases; see REPORT-3.md.
	"data-rack": waitForDataRack,
	"rounds":    manyRounds,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		os.Exit(int(notRun))
	}
	r, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(notRun))
	}
	fmt.Println([]string{"the rule held", "the rule was broken"}[r])
	os.Exit(int(r))
}
