package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/loopback/loopbacktest"
)

// binaries is where TestMain built the programs.
var binaries string

func TestMain(m *testing.M) { os.Exit(loopbacktest.Run(m, &binaries)) }

// small are the settings of a day that a test plays.
func small() settings {
	return settings{Program: filepath.Join(binaries, "yarrowgraded"), Length: 8 * time.Second, Entries: 2, Workers: 3}
}

// TestSoak plays short days: one with faults and one with planned work only. Longer ones are played by hand; see
// docs/OPERATIONS.md.
func TestSoak(t *testing.T) {
	for _, seed := range []uint64{1, 4} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			logs := t.TempDir()
			report, err := playDay(t.Context(), small(), seed, logs)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(report.summary())
			for _, b := range report.broken {
				t.Error(b)
			}
			if report.accepted < 3 || len(report.struck) < 3 {
				t.Errorf("%d jobs were accepted and %d faults struck: the day proves nothing", report.accepted, len(report.struck))
			}
			if t.Failed() {
				printLogs(t, logs)
			}
		})
	}
}

// TestTroubledSoak plays a short day on which, beside all other faults, tasks crash their workers and rooms shrink, and one on which workers start
// again under their ids as well.
func TestTroubledSoak(t *testing.T) {
	tests := []struct {
		name    string
		sameIDs bool
		seed    uint64
	}{
		{"troubled", false, 2},
		{"same ids", true, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			logs, troubled := t.TempDir(), small()
			troubled.Troubled, troubled.SameIDs = true, test.sameIDs
			report, err := playDay(t.Context(), troubled, test.seed, logs)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(report.summary())
			for _, b := range report.broken {
				t.Error(b)
			}
			if t.Failed() {
				printLogs(t, logs)
			}
		})
	}
}

// printLogs prints the logs of all processes of a day.
func printLogs(t *testing.T, dir string) {
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, file := range files {
		data, _ := os.ReadFile(file)
		t.Logf("%s:\n%s", filepath.Base(file), data)
	}
}
