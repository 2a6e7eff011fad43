package dispatch

import (
	"strings"

	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/internal/telemetry"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// Metrics are those of controllers. Those with a team have a series for each team of the configuration.
type Metrics struct {
	ends   telemetry.Counters[job.EndReason]
	stops  telemetry.Counters[string]
	losses telemetry.Counters[string]
	// lostWork counts core-seconds of work that was thrown away.
	lostWork telemetry.Counters[lossCause]
	// crashes counts tasks under which workers crashed, givenUp jobs that were given up.
	crashes telemetry.Counters[string]
	givenUp telemetry.Counters[string]
	// adopted counts runs that a later start of their worker carried out.
	adopted tally.Counter
	// lateEnds counts ends of runs that had been given up.
	lateEnds tally.Counter

	scope   tally.Scope
	workers tally.Gauge
	free    tally.Gauge
	// cordoned is how many availability zones are cordoned, left how many runs go on there.
	cordoned     tally.Gauge
	cordonedRuns tally.Gauge
	waiting      map[string]tally.Gauge
	allocated    map[string]tally.Gauge
}

// Labels of what is counted. Stops and losses are counted by the first words of why.
const (
	stopYields    = "yields"
	stopStall     = "stalled"
	stopLeaves    = "worker_leaves"
	stopCordoned  = "zone_cordoned"
	stopShrunk    = "room_shrunk"
	crashSure     = "sure"
	crashDoubtful = "doubtful"
	gaveUpFailed  = "failed_too_often"
	gaveUpCrashes = "crashes_workers"
	lossLease     = "lease_over"
	lossLife      = "life_over"
	whyYields     = "it yields to "
	whyStalled    = "it stands still"
	whyCordoned   = "its zone is cordoned and it has not begun"
	whyShrunk     = "its worker's room has shrunk and it has not begun"
	whyLeaseOver  = "its lease is over"
	whyLifeOver   = "its life is over"
)

// NewMetrics returns the metrics of a process; all its controllers share them.
func NewMetrics(scope tally.Scope) *Metrics {
	m := &Metrics{
		ends: telemetry.NewCounters(scope, "runs_ended", "how", job.EndDone, job.EndFailed, job.EndStopped, job.EndLeaseExpired, job.EndGangBroken,
			job.EndGangIncomplete, job.EndLost, job.EndRefused),
		stops:    telemetry.NewCounters(scope, "runs_stopped", "why", stopYields, stopStall, stopLeaves, stopCordoned, stopShrunk),
		losses:   telemetry.NewCounters(scope, "runs_lost", "why", lossLease, lossLife),
		lostWork: telemetry.NewCounters(scope, "work_lost_core_s", "cause", lossCauses()...),
		crashes:  telemetry.NewCounters(scope, "crashes_under_tasks", "certainty", crashSure, crashDoubtful),
		givenUp:  telemetry.NewCounters(scope, "jobs_given_up", "why", gaveUpFailed, gaveUpCrashes),
		adopted:  scope.Counter("runs_carried_over"), lateEnds: scope.Counter("ends_of_given_up_runs"),
		scope: scope, workers: scope.Gauge("workers"), free: scope.Gauge("accelerators_free"),
		cordoned: scope.Gauge("zones_cordoned"), cordonedRuns: scope.Gauge("runs_in_cordoned_zones"),
		waiting: map[string]tally.Gauge{}, allocated: map[string]tally.Gauge{},
	}
	// Jobs of open queues have no team.
	m.byTeam(m.waiting, waitingName, map[string]int{"": 0})
	m.byTeam(m.allocated, heldName, map[string]int{"": 0})
	return m
}

// crashLabel is the label under which a crash under a task counts.
func crashLabel(f job.CrashVerdict) string {
	if f == job.Crashed {
		return crashSure
	}
	return crashDoubtful
}

// Names of the gauges by team.
const (
	waitingName = "jobs_waiting"
	heldName    = "accelerators_held"
)

// stopLabel is the label under which a stop counts.
func stopLabel(why string) string {
	switch {
	case strings.HasPrefix(why, whyYields):
		return stopYields
	case why == whyStalled:
		return stopStall
	case why == whyCordoned:
		return stopCordoned
	case why == whyShrunk:
		return stopShrunk
	}
	return stopLeaves
}

// stopped counts a run that is told to stop.
func (m *Metrics) stopped(why string) { m.stops.Inc(stopLabel(why)) }

// lost counts a run that is lost.
func (m *Metrics) lost(why string) {
	if why == whyLeaseOver {
		m.losses.Inc(lossLease)
		return
	}
	m.losses.Inc(lossLife)
}

// observe notes the room and, by team, what waits and what is held.
func (m *Metrics) observe(c *Controller) {
	free, workers, left := 0, 0, 0
	cordons, _ := c.catalog.Cordons()
	for _, w := range c.workers {
		if w.state == nil {
			continue
		}
		workers++
		free += w.state.Capacity.Accelerators
		if cordons.Has(w.state.Zone) {
			left += len(w.runs)
		}
	}
	waiting, held := map[string]int{}, map[string]int{}
	for id, t := range c.active {
		if t.progress.Phase == job.Queued {
			waiting[t.job.Team]++
		}
		t.progress.Placed(id, func(name job.TaskName, _ *job.Task) {
			held[t.job.Team] += t.job.Steps[name.Step].Resources.Accelerators
			free -= t.job.Steps[name.Step].Resources.Accelerators
		})
	}
	m.workers.Update(float64(workers))
	m.free.Update(float64(free))
	m.cordoned.Update(float64(len(cordons)))
	m.cordonedRuns.Update(float64(left))
	m.byTeam(m.waiting, waitingName, waiting)
	m.byTeam(m.allocated, heldName, held)
}

// byTeam sets a gauge for each team; one that has nothing any more is set to zero.
func (m *Metrics) byTeam(gauges map[string]tally.Gauge, name string, values map[string]int) {
	for team := range values {
		if gauges[team] == nil {
			gauges[team] = m.scope.Tagged(map[string]string{"team": team}).Gauge(name)
		}
	}
	for team, gauge := range gauges {
		gauge.Update(float64(values[team]))
	}
}
