package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/loopback/loopbacktest"
)

// binaries is the directory in which TestMain built the programs.
var binaries string

func TestMain(m *testing.M) { os.Exit(loopbacktest.Run(m, &binaries)) }

// shortSettings returns the settings of a short scenario.
func shortSettings() settings {
	return settings{Program: filepath.Join(binaries, "yarrowgraded"), Length: 8 * time.Second, Entries: 2, Workers: 3}
}

// TestSoak runs two short scenarios: one with faults and one of planned work. docs/OPERATIONS.md
// describes how to run longer ones.
func TestSoak(t *testing.T) {
	for _, seed := range []uint64{1, 4} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			logs := logDir(t)
			report, err := runScenario(t.Context(), shortSettings(), seed, logs)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(report.summary())
			for _, v := range report.violations {
				t.Error(v)
			}
			if report.accepted < 3 || len(report.injected) < 3 {
				t.Errorf("%d jobs accepted and %d faults injected, want at least 3 of each",
					report.accepted, len(report.injected))
			}
		})
	}
}

// TestTroubledSoak runs a short scenario in which tasks crash their workers and capacities change,
// and one in which workers also restart under the same IDs.
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
			logs, troubled := logDir(t), shortSettings()
			troubled.Troubled, troubled.SameIDs = true, test.sameIDs
			report, err := runScenario(t.Context(), troubled, test.seed, logs)
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

// logDir returns a directory for the logs of a scenario. The logs are printed if the test fails,
// also if the scenario could not be run.
func logDir(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	t.Cleanup(func() {
		if t.Failed() {
			printLogs(t, dir)
		}
	})
	return dir
}

// printLogs prints the logs of all processes of a scenario.
func printLogs(t *testing.T, dir string) {
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, file := range files {
		data, _ := os.ReadFile(file)
		t.Logf("%s:\n%s", filepath.Base(file), data)
	}
}
