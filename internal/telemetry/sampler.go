package telemetry

import (
	"bytes"
	"time"
)

// Limits of the log volume. Warnings and errors are always kept.
const (
	// sampleWindow is the period over which the lines of a step are counted.
	sampleWindow = time.Second
	// sampleAfter is the number of lines of a step per window that are all kept. Of the remaining
	// lines, one in sampleEvery is kept.
	sampleAfter = 200
	sampleEvery = 20
	// sampleSteps is the maximum number of steps that are counted separately.
	sampleSteps = 256
)

// sampler counts the lines of each step and decides which ones to keep. It is not safe for
// concurrent use.
type sampler struct {
	windowStart time.Time
	steps       map[string]*stepCount
}

// stepCount counts the lines of a step in the current window.
type stepCount struct{ lines, dropped int }

func newSampler() *sampler { return &sampler{steps: map[string]*stepCount{}} }

// rollWindow starts a new window if the current one has ended, and returns the number of lines of
// each step that were dropped in the old window.
func (s *sampler) rollWindow(now time.Time) map[string]int {
	if now.Sub(s.windowStart) < sampleWindow {
		return nil
	}
	dropped := map[string]int{}
	for step, c := range s.steps {
		if c.dropped > 0 {
			dropped[step] = c.dropped
		}
	}
	s.windowStart = now
	clear(s.steps)
	return dropped
}

// keep counts a line and reports whether it is to be written.
func (s *sampler) keep(line []byte) bool {
	if bytes.Contains(line, []byte("level=warn")) || bytes.Contains(line, []byte("level=error")) {
		return true
	}
	step := stepField(line)
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

// stepField returns the value of a line's step field, or "" if it has none.
func stepField(line []byte) string {
	_, rest, found := bytes.Cut(line, []byte(" step="))
	if !found {
		return ""
	}
	step, _, _ := bytes.Cut(rest, []byte(" "))
	return string(bytes.TrimSpace(step))
}
