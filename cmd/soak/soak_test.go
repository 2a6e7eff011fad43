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

// small returns the settings of a short day.
func small() settings {
	return settings{Program: filepath.Join(binaries, "yarrowgraded"), Length: 8 * time.Second, Entries: 2, Workers: 3}
}

// TestSoak plays short days: one with faults and one of planned work. docs/OPERATIONS.md says how
// to play longer ones.
func TestSoak(t *testing.T) {
	for _, seed := range []uint64{1, 4} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			logs := logsOf(t)
			report, err := playDay(t.Context(), small(), seed, logs)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(report.summary())
			for _, v := range report.violations {
				t.Error(v)
			}
			if report.accepted < 3 || len(report.injected) < 3 {
				t.Errorf("%d jobs were accepted and %d faults injected: the day proves nothing",
					report.accepted, len(report.injected))
			}
		})
	}
}

// TestTroubledSoak plays a short day with tasks that crash their workers and changing capacities,
// and one on which workers also restart under their IDs.
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
			logs, troubled := logsOf(t), small()
			troubled.Troubled, troubled.SameIDs = true, test.sameIDs
			report, err := playDay(t.Context(), troubled, test.seed, logs)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(report.summary())
			for _, v := range report.violations {
				t.Error(v)
			}
		})
	}
}

// logsOf returns a directory for the logs of a day, which are printed if the test fails, also
// where the day could not be played.
func logsOf(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	t.Cleanup(func() {
		if t.Failed() {
			printLogs(t, dir)
		}
	})
	return dir
}

// printLogs logs the logs of all processes of a day.
func printLogs(t *testing.T, dir string) {
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, file := range files {
		data, _ := os.ReadFile(file)
		t.Logf("%s:\n%s", filepath.Base(file), data)
	}
}
