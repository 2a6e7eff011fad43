package telemetry

import (
	"bytes"
	"time"
)

// Bounds of the log's volume: in each thinWindow a step may write thinAfter lines, and beyond that one of thinShare.
// Warnings and errors are never thinned.
const (
	thinWindow = time.Second
	thinAfter  = 200
	thinShare  = 20
	// thinSteps bounds how many steps are told apart.
	thinSteps = 256
)

// thinner counts the lines of each step, and says which are left out. It is used by one goroutine at a time.
type thinner struct {
	window time.Time
	steps  map[string]*stepCount
}

// stepCount is how many lines a step has written in the window, and how many of them were left out.
type stepCount struct{ lines, left int }

func newThinner() *thinner { return &thinner{steps: map[string]*stepCount{}} }

// next begins a new window if the last one is over, and returns how many lines of each step that one has left out.
func (t *thinner) next(now time.Time) map[string]int {
	if now.Sub(t.window) < thinWindow {
		return nil
	}
	left := map[string]int{}
	for step, c := range t.steps {
		if c.left > 0 {
			left[step] = c.left
		}
	}
	t.window = now
	clear(t.steps)
	return left
}

// keeps reports whether a line is written.
func (t *thinner) keeps(line []byte) bool {
	if bytes.Contains(line, []byte("level=warn")) || bytes.Contains(line, []byte("level=error")) {
		return true
	}
	step := stepOf(line)
	c := t.steps[step]
	if c == nil {
		if len(t.steps) >= thinSteps {
			step = ""
		}
		c = &stepCount{}
		t.steps[step] = c
	}
	c.lines++
	if c.lines <= thinAfter || c.lines%thinShare == 0 {
		return true
	}
	c.left++
	return false
}

// stepOf is the step of a line, or nothing if it names none.
func stepOf(line []byte) string {
	_, rest, found := bytes.Cut(line, []byte(" step="))
	if !found {
		return ""
	}
	step, _, _ := bytes.Cut(rest, []byte(" "))
	return string(bytes.TrimSpace(step))
}
