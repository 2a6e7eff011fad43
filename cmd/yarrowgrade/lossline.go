package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// timeField is the first field of a log line.
const timeField = "time="

// Events and field values in the leader's log, as package dispatch writes them.
const (
	eventPlaced    = "run is placed"
	eventStop      = "run is to stop"
	eventEnded     = "run ended"
	eventJob       = "job ended"
	yieldPrefix    = "it yields to "
	phaseCompleted = "completed"
	causeNone      = "none"
)

// lossRecord holds the fields of a log line that are relevant for losses.
type lossRecord struct {
	at    time.Time
	event string
	// task and run identify a run; job is the ID of the job that ended.
	task string
	run  int
	job  string
	// priority is the priority of the run's job; 0 is urgent.
	priority int
	// why is the reason why a run is stopped; cause is the reason why its work was lost.
	why   string
	cause string
	// lost is the lost work in core-seconds.
	lost float64
	// phase is the phase of the job that ended; due is its deadline.
	phase string
	due   time.Time
}

func parseLossRecord(text string) (l lossRecord, err error) {
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

// set sets one field. Fields that are not relevant for losses are ignored.
func (l *lossRecord) set(key, value string) (err error) {
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
