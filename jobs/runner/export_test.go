package runner

import "yarrowgrade.example/yarrowgrade/jobs/assignment"

// SpeedAfter returns the speed of a best-effort run that shares its worker with a run with a
// latency target, after one adjustment for each of that run's latencies.
func SpeedAfter(targeted, bestEffort assignment.RunID, target int64, latencies []int) int {
	t := newThrottle()
	t.assign([]assignment.Role{
		{RunID: targeted, LatencyTargetMillis: target},
		{RunID: bestEffort, BestEffort: true},
	})
	for _, latency := range latencies {
		t.adjust(map[assignment.RunID]*run{
			targeted:   {running: true, latencyMillis: latency},
			bestEffort: {running: true},
		})
	}
	return t.speed
}
