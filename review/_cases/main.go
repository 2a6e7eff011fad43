// Command review plays the cases of an independent review. Each case starts the system's own
// programs as processes on loopback addresses, with stand-ins for the store, the workers and the
// callers, and checks one rule. The exit status is 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit is the longest time that a case may take.
const timeLimit = 110 * time.Second

// Exit statuses.
const (
	held   = 0
	broken = 1
	unable = 2
)

// verdict is the outcome of a case.
type verdict struct {
	// findings are the breaches of the rule.
	findings []string
	// err says why the case could not run.
	err error
}

// cases holds the cases by the names under which the scripts call them.
var cases = map[string]func(log *recorder, trouble bool) verdict{
	"spec":      largeSpec,
	"ends":      manyEnds,
	"stale":     staleStart,
	"cancel":    cancelUnknown,
	"lasting":   lastingGivenUp,
	"rounds":    manyRounds,
	"latebeats": lateHeartbeats,
}

// needs holds what each task needs; it is set by the case before any task starts.
var needs capacity

func needsOf(string) capacity { return needs }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE RECORD")
		os.Exit(unable)
	}
	log, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unable)
	}
	v := play(log, cases[os.Args[1]])
	status := held
	switch {
	case v.err != nil:
		status = unable
		log.write("could not run: %v", v.err)
		fmt.Println("could not run:", v.err)
	case len(v.findings) > 0:
		status = broken
		fmt.Printf("rule broken, %d times; first: %s\n", len(v.findings), v.findings[0])
	default:
		fmt.Println("rule held")
	}
	for _, f := range v.findings {
		log.write("BROKEN %s", f)
	}
	log.write("exit status %d", status)
	log.close()
	os.Exit(status)
}

// play plays a case. A signal or the time limit ends it early; its processes are ended in any case.
func play(log *recorder, c func(log *recorder, trouble bool) verdict) verdict {
	outcome := make(chan verdict, 1)
	go func() { outcome <- c(log, os.Getenv("TROUBLE") != "0") }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case v := <-outcome:
		return v
	case <-stop:
	case <-time.After(timeLimit):
	}
	endAll()
	return verdict{err: errors.New("ended early")}
}
