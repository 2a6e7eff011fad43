package main

import (
	"os"
	"path/filepath"
	"testing"
)

// TestTraceLines checks that a line without a time gets the time of the previous line, and that
// lines without the ID are left out.
func TestTraceLines(t *testing.T) {
	name := filepath.Join(t.TempDir(), "log")
	text := "time=2026-01-02T03:04:05.5Z level=info event=\"job is accepted\" job=ab\n" +
		"  a line of it: ab\n" +
		"time=2026-01-02T03:04:04Z job=cd\n"
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	lines, err := matchingLines(name, "ab")
	if err != nil || len(lines) != 2 || !lines[0].at.Equal(lines[1].at) || lines[0].at.Nanosecond() != 500_000_000 {
		t.Errorf("got %+v, %v", lines, err)
	}
	if _, err := matchingLines(name+"x", "ab"); err == nil {
		t.Error("no error for a file that does not exist")
	}
}
