package runner

import "yarrowgrade.example/yarrowgrade/jobs/assignment"

// SpeedAfter returns the speed of a best-effort run beside one with a latency target, after a
// look at each of the latency figures of that one.
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
