package telemetry

import (
	"bytes"
	"time"
)

// Bounds of the volume of the log. Warnings and errors are always kept.
const (
	// sampleWindow is the period over which the lines of a step are counted.
	sampleWindow = time.Second
	// sampleAfter is how many lines of a step are kept in a window; of the rest, one in sampleEvery
	// is.
	sampleAfter = 200
	sampleEvery = 20
	// sampleSteps bounds the number of steps that are counted separately.
	sampleSteps = 256
)

// sampler counts the lines of each step and decides which to keep. It is not safe for concurrent
// use.
type sampler struct {
	window time.Time
	steps  map[string]*stepCount
}

// stepCount counts the lines of a step in the window.
type stepCount struct{ lines, dropped int }

func newSampler() *sampler { return &sampler{steps: map[string]*stepCount{}} }

// roll begins a new window if the last one is over, and returns how many lines of each step the
// last one dropped.
func (s *sampler) roll(now time.Time) map[string]int {
	if now.Sub(s.window) < sampleWindow {
		return nil
	}
	dropped := map[string]int{}
	for step, c := range s.steps {
		if c.dropped > 0 {
			dropped[step] = c.dropped
		}
	}
	s.window = now
	clear(s.steps)
	return dropped
}

// keep counts a line and reports whether to write it.
func (s *sampler) keep(line []byte) bool {
	if bytes.Contains(line, []byte("level=warn")) || bytes.Contains(line, []byte("level=error")) {
		return true
	}
	step := stepOf(line)
	c := s.steps[step]
	if c == nil {
		if len(s.steps) >= sampleSteps {
			step = ""
		}
		c = &stepCount{}
		s.steps[step] = c
	}
	c.lines++
	if c.lines <= sampleAfter || c.lines%sampleEvery == 0 {
		return true
	}
	c.dropped++
	return false
}

// stepOf returns the value of a line's step field, or "" if it has none.
func stepOf(line []byte) string {
	_, rest, found := bytes.Cut(line, []byte(" step="))
	if !found {
		return ""
	}
	step, _, _ := bytes.Cut(rest, []byte(" "))
	return string(bytes.TrimSpace(step))
}
