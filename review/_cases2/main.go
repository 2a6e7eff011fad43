// Program review2 plays the scripted cases of the second review: it starts the stand-ins and the
// project's processes on loopback addresses, and checks one rule from what clients and workers see.
//
//	review2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With the
// variable TROUBLE set to 0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"time"
)

// play plays a case, and returns how the rule was broken; empty if it held.
type play func(t *trace, trouble bool) (broken string, err error)

var cases = map[string]play{
	"urgent-burst":     urgentBurst,
	"large-answer":     largeAnswer,
	"lost-worker":      lostWorker,
	"gang-failure":     gangFailure,
	"unanswered-start": unansweredStart,
	"cancel-in-doubt":  cancelInDoubt,
	"late-heartbeats":  lateHeartbeats,
	"lasting-job":      lastingJob,
	"hopeless-gang":    hopelessGang,
}

// timeLimit ends a case that hangs.
const timeLimit = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		os.Exit(2)
	}
	t, err := newTrace(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	time.AfterFunc(timeLimit, func() {
		t.log("case", "could not run: it took too long")
		os.Exit(2)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	t.log("case", "%s, with the disruption: %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](t, trouble)
	switch {
	case err != nil:
		t.log("case", "could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken != "":
		t.log("case", "RULE BROKEN: %s", broken)
		fmt.Println("rule broken:", broken)
		os.Exit(1)
	}
	t.log("case", "the rule held")
	fmt.Println("the rule held")
}
