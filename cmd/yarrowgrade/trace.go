package main

import (
	"bufio"
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

const traceUsage = `
trace prints the log lines that contain an id (of a job, a task, or an incarnation of a worker) from the logs of several
processes, in the order of their times. Clocks of machines differ a little, so lines of two machines that were written
at almost the same time may be in the wrong order.

Example:

  yarrowgrade trace 7b1f7d2030478d63 entry-1.log entry-2.log worker-1.log
`

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

type traceCommand struct {
	ID    string   `arg:"" help:"What the lines must contain."`
	Files []string `arg:"" help:"Logs of the processes." type:"existingfile"`
}

// Help implements kong.HelpProvider.
func (*traceCommand) Help() string { return traceUsage }

// logLine is a line with its time. A line without a time gets the time of the previous line.
type logLine struct {
	at   time.Time
	text string
}

// Run implements the command.
func (c *traceCommand) Run(s *env) error {
	var lines []logLine
	for _, name := range c.Files {
		found, err := matchingLines(name, c.ID)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	for _, l := range lines {
		fmt.Fprintln(s.out, l.text)
	}
	return nil
}

// matchingLines returns the lines of a file that contain the ID.
func matchingLines(name, id string) ([]logLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	defer file.Close()
	var lines []logLine
	var at time.Time
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		if t, ok := lineTime(text); ok {
			at = t
		}
		if strings.Contains(text, id) {
			lines = append(lines, logLine{at: at, text: text})
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("trace: %s: %w", name, err)
	}
	return lines, nil
}

// lineTime returns the time of a line, if it has one.
func lineTime(text string) (time.Time, bool) {
	_, rest, ok := strings.Cut(text, "time=")
	if !ok {
		return time.Time{}, false
	}
	word, _, _ := strings.Cut(rest, " ")
	t, err := time.Parse(time.RFC3339Nano, word)
	return t, err == nil
}
