package main

import (
	"net/http"
	"os"
	"regexp"
	"slices"
	"testing"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/internal/telemetry"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch"
	"yarrowgrade.example/yarrowgrade/platform"
)

// registeredMetrics returns the names of all metrics that a process for jobs registers.
func registeredMetrics(t *testing.T, start func(s *platform.Settings, t *telemetry.Telemetry)) []string {
	t.Helper()
	const settings = `{"node":"n","ip":"127.0.0.1","portRange":[7000,7015],"platform":{"address":"127.0.0.1:1"}}`
	s, err := platform.DecodeSettings([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	scope := tally.NewTestScope("", nil)
	w := telemetry.NewWriter(os.Stderr)
	w.SetDropCounter(scope.Counter("log_lines_left_out"))
	start(s, &telemetry.Telemetry{Log: zerolog.Nop(), Metrics: scope, MetricsHandler: http.NotFoundHandler()})
	var names []string
	all := scope.Snapshot()
	for _, c := range all.Counters() {
		names = append(names, c.Name())
	}
	for _, g := range all.Gauges() {
		names = append(names, g.Name())
	}
	for _, h := range all.Histograms() {
		names = append(names, h.Name())
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// TestMetricsAreDocumented compares the table in docs/OPERATIONS.md with the registered metrics.
func TestMetricsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := map[string][]string{}
	// Rows have the form | `name{label}` | entry | ...
	rows := regexp.MustCompile("(?m)^\\| `(\\w+)(?:\\{\\w+\\})?` \\| (entry|agent|both) \\|")
	for _, row := range rows.FindAllStringSubmatch(string(page), -1) {
		for _, role := range []string{"entry", "agent"} {
			if row[2] == role || row[2] == "both" {
				documented[role] = append(documented[role], row[1])
			}
		}
	}
	starts := map[string]func(*platform.Settings, *telemetry.Telemetry){
		"entry": func(s *platform.Settings, t *telemetry.Telemetry) {
			newJobEntry(s, t, "127.0.0.1:7000", dispatch.Policy{})
		},
		"agent": func(s *platform.Settings, t *telemetry.Telemetry) { newJobAgent(s, t) },
	}
	for role, start := range starts {
		t.Run(role, func(t *testing.T) {
			names := registeredMetrics(t, start)
			slices.Sort(documented[role])
			if !slices.Equal(names, documented[role]) {
				t.Errorf("registered: %v\nin the table: %v", names, documented[role])
			}
		})
	}
}
