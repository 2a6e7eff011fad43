package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// timeField begins a line of a log.
const timeField = "time="

// Events and values of fields in the leader's log, as package dispatch writes them.
const (
	eventPlaced = "run is placed"
	eventStop   = "run is to stop"
	eventEnded  = "run ended"
	eventJob    = "job ended"
	yieldsTo    = "it yields to "
	phaseDone   = "completed"
	causeNone   = "none"
)

// lossLine holds the fields of a line that losses depend on.
type lossLine struct {
	at    time.Time
	event string
	// task and run name a run; job is the ID of the job that ended.
	task string
	run  int
	job  string
	// priority is that of the run's job; 0 is urgent.
	priority int
	// why says why a run is to stop; cause, why its work was lost.
	why   string
	cause string
	// lost is the lost work in core-seconds.
	lost float64
	// phase is that of the job that ended; due, the time by which it was to be completed.
	phase string
	due   time.Time
}

func parseLossLine(text string) (l lossLine, err error) {
	d := logfmt.NewDecoder(strings.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			if err := l.set(string(d.Key()), string(d.Value())); err != nil {
				return l, fmt.Errorf("%q: %w", text, err)
			}
		}
	}
	if d.Err() != nil {
		return l, fmt.Errorf("%q: %w", text, d.Err())
	}
	return l, nil
}

// set sets one field. Fields that no loss depends on are skipped.
func (l *lossLine) set(key, value string) (err error) {
	switch key {
	case "time":
		l.at, err = time.Parse(time.RFC3339Nano, value)
	case "event":
		l.event = value
	case "task":
		l.task = value
	case "job":
		l.job = value
	case "cause":
		l.cause = value
	case "why":
		l.why = value
	case "phase":
		l.phase = value
	case "due":
		l.due, err = time.Parse(time.RFC3339Nano, value)
	case "run":
		l.run, err = strconv.Atoi(value)
	case "priority":
		l.priority, err = strconv.Atoi(value)
	case "lost_core_s":
		l.lost, err = strconv.ParseFloat(value, 64)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	return nil
}
