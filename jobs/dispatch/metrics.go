package dispatch

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/internal/telemetry"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch/backlog"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// Metrics are the metrics of controllers. Those with a team label have a series for each configured
// team.
type Metrics struct {
	ends     telemetry.Counters[job.EndReason]
	stops    telemetry.Counters[string]
	runsLost telemetry.Counters[string]
	// workLost counts core-seconds of discarded work.
	workLost telemetry.Counters[lossCause]
	// crashes counts the tasks that workers crashed under, givenUp the jobs that were given up.
	crashes telemetry.Counters[string]
	givenUp telemetry.Counters[string]
	// adopted counts runs that were carried out by a later incarnation of their worker.
	adopted tally.Counter
	// lateEnds counts ends of runs that had been given up.
	lateEnds tally.Counter
	// held counts tasks that were held because an earlier start of them might still be carried out.
	held tally.Counter

	// burstWaits counts how often a stopped unit began to leave the headroom free during a burst.
	burstWaits tally.Counter

	scope   tally.Scope
	workers tally.Gauge
	free    tally.Gauge
	// quarantined, onProbation and slowed count workers by their health.
	quarantined tally.Gauge
	onProbation tally.Gauge
	slowed      tally.Gauge
	// cordonedZones is the number of cordoned availability zones, cordonedRuns the number of runs
	// that continue there.
	cordonedZones tally.Gauge
	cordonedRuns  tally.Gauge
	// loads is keyed by service.
	loads map[string]tally.Gauge
	// waiting and allocated are keyed by team, likelyToLeave by service.
	waiting       map[string]tally.Gauge
	allocated     map[string]tally.Gauge
	likelyToLeave map[string]tally.Gauge
	// usage is keyed by service and team.
	usage map[shareKey]tally.Gauge
	// backlog is keyed by service and priority; a gauge exists once the service was overloaded.
	backlog map[servicePriority]tally.Gauge
}

// servicePriority identifies the jobs of a service at a priority.
type servicePriority struct {
	service  string
	priority int
}

// Labels of crashes under tasks, and of jobs that were given up.
const (
	crashSure     = "sure"
	crashDoubtful = "doubtful"
	gaveUpFailed  = "failed_too_often"
	gaveUpCrashes = "crashes_workers"
)

// Names of the gauges by service and by team.
const (
	loadName          = "service_load"
	waitingName       = "jobs_waiting"
	allocatedName     = "accelerators_held"
	usageName         = "team_usage"
	likelyToLeaveName = "workers_likely_to_leave"
)

// backlogName is the name of the gauge by service and priority.
const backlogName = "service_backlog_seconds"

// NewMetrics returns the metrics of a process, which all its controllers share.
func NewMetrics(scope tally.Scope) *Metrics {
	m := &Metrics{
		ends: telemetry.NewCounters(scope, "runs_ended", "how",
			job.EndDone, job.EndFailed, job.EndStopped, job.EndLeaseExpired,
			job.EndGangBroken, job.EndGangIncomplete, job.EndLost, job.EndRefused),
		stops: telemetry.NewCounters(scope, "runs_stopped", "why",
			stopYields, stopStalled, stopDraining, stopCordoned, stopShrunk, stopSlow),
		runsLost:      telemetry.NewCounters(scope, "runs_lost", "why", leaseExpired.label, incarnationEnded.label),
		workLost:      telemetry.NewCounters(scope, "work_lost_core_s", "cause", lossCauses()...),
		crashes:       telemetry.NewCounters(scope, "crashes_under_tasks", "certainty", crashSure, crashDoubtful),
		givenUp:       telemetry.NewCounters(scope, "jobs_given_up", "why", gaveUpFailed, gaveUpCrashes),
		adopted:       scope.Counter("runs_carried_over"),
		lateEnds:      scope.Counter("ends_of_given_up_runs"),
		held:          scope.Counter("tasks_held_for_open_starts"),
		burstWaits:    scope.Counter("waits_for_end_of_burst"),
		scope:         scope,
		workers:       scope.Gauge("workers"),
		free:          scope.Gauge("accelerators_free"),
		quarantined:   scope.Gauge("workers_quarantined"),
		onProbation:   scope.Gauge("workers_on_probation"),
		slowed:        scope.Gauge("workers_slowed"),
		cordonedZones: scope.Gauge("zones_cordoned"),
		cordonedRuns:  scope.Gauge("runs_in_cordoned_zones"),
		loads:         map[string]tally.Gauge{},
		waiting:       map[string]tally.Gauge{},
		allocated:     map[string]tally.Gauge{},
		usage:         map[shareKey]tally.Gauge{},
		likelyToLeave: map[string]tally.Gauge{},
		backlog:       map[servicePriority]tally.Gauge{},
	}
	// Jobs of public queues have no team.
	m.byTeam(m.waiting, waitingName, map[string]int{"": 0})
	m.byTeam(m.allocated, allocatedName, map[string]int{"": 0})
	return m
}

// crashLabel returns the label under which a crash under a task is counted.
func crashLabel(v job.CrashVerdict) string {
	if v == job.Crashed {
		return crashSure
	}
	return crashDoubtful
}

// observe updates the gauges: workers and free accelerators, cordoned zones and the runs there, by
// team the waiting jobs, the allocated accelerators and the usage, and by service the workers that
// are likely to leave.
func (m *Metrics) observe(c *Controller) {
	free, workers, cordonedRuns := 0, 0, 0
	cordons, _ := c.catalog.Cordons()
	for _, w := range c.workers {
		if w.state == nil {
			continue
		}
		workers++
		free += w.state.Capacity.Accelerators
		if cordons.Has(w.state.Zone) {
			cordonedRuns += len(w.runs)
		}
	}
	waiting, allocated := map[string]int{}, map[string]int{}
	for id, t := range c.active {
		if t.progress.Phase == job.Queued {
			waiting[t.job.Team]++
		}
		t.progress.EachPlaced(id, func(name job.TaskName, _ *job.Task) {
			accelerators := t.step(name).Resources.Accelerators
			allocated[t.job.Team] += accelerators
			free -= accelerators
		})
	}
	m.observeHealth(c)
	m.workers.Update(float64(workers))
	m.free.Update(float64(free))
	m.cordonedZones.Update(float64(len(cordons)))
	m.cordonedRuns.Update(float64(cordonedRuns))
	m.byService(c.loads)
	m.byTeam(m.waiting, waitingName, waiting)
	m.byTeam(m.allocated, allocatedName, allocated)
	m.byLabel(m.likelyToLeave, "service", likelyToLeaveName, asFloats(c.likelyToLeave()))
	m.observeUsage(c)
	m.observeBacklog(c.backlog)
}

// observeUsage sets a gauge for each service and team; teams that have used nothing recently are
// set to zero.
func (m *Metrics) observeUsage(c *Controller) {
	used := map[shareKey]float64{}
	for service, u := range c.usage {
		for team := range u.current.Held() {
			used[shareKey{service, team}] = u.current.Of(team)
		}
	}
	updateGauges(m.usage, used, func(key shareKey) tally.Gauge {
		return m.scope.Tagged(map[string]string{"service": key.service, "team": key.team}).Gauge(usageName)
	})
}

// observeHealth updates the gauges of the workers' health.
func (m *Metrics) observeHealth(c *Controller) {
	now := time.Now()
	quarantined, onProbation, slowed := 0, 0, 0
	for _, w := range c.workers {
		switch {
		case w.state == nil:
		case w.health.Quarantined(now):
			quarantined++
		case w.health.OnProbation():
			onProbation++
		case w.slowdown.Slow():
			slowed++
		}
	}
	m.quarantined.Update(float64(quarantined))
	m.onProbation.Update(float64(onProbation))
	m.slowed.Update(float64(slowed))
}

// observeBacklog updates the gauges of the backlog; those of services that are not overloaded any
// more are set to zero.
func (m *Metrics) observeBacklog(f backlog.Forecast) {
	sums := map[servicePriority]time.Duration{}
	for _, service := range f.Services() {
		s, _ := f.Service(service)
		for k, d := range s.All() {
			sums[servicePriority{service, k.Priority}] += d
		}
	}
	seconds := map[servicePriority]float64{}
	for key, sum := range sums {
		seconds[key] = sum.Seconds()
	}
	updateGauges(m.backlog, seconds, func(key servicePriority) tally.Gauge {
		tags := map[string]string{"service": key.service, "priority": strconv.Itoa(key.priority)}
		return m.scope.Tagged(tags).Gauge(backlogName)
	})
}

// byTeam sets a gauge for each team; teams without a value are set to zero.
func (m *Metrics) byTeam(gauges map[string]tally.Gauge, name string, values map[string]int) {
	m.byLabel(gauges, "team", name, asFloats(values))
}

// byService sets the gauge of the load of each service; services that are gone are set to zero.
func (m *Metrics) byService(loads map[string]serviceLoad) {
	ratios := map[string]float64{}
	for service, load := range loads {
		ratios[service] = load.ratio()
	}
	m.byLabel(m.loads, "service", loadName, ratios)
}

// byLabel sets a gauge for each value of a label; those without a value are set to zero.
func (m *Metrics) byLabel(gauges map[string]tally.Gauge, label, name string, values map[string]float64) {
	updateGauges(gauges, values, func(value string) tally.Gauge {
		return m.scope.Tagged(map[string]string{label: value}).Gauge(name)
	})
}

// updateGauges updates the gauge of each key, and creates those that are missing. Gauges of keys
// without a value are set to zero.
func updateGauges[K comparable](gauges map[K]tally.Gauge, values map[K]float64, create func(K) tally.Gauge) {
	for key := range values {
		if gauges[key] == nil {
			gauges[key] = create(key)
		}
	}
	for key, gauge := range gauges {
		gauge.Update(values[key])
	}
}

// asFloats converts counts to the values of gauges.
func asFloats(counts map[string]int) map[string]float64 {
	values := make(map[string]float64, len(counts))
	for key, n := range counts {
		values[key] = float64(n)
	}
	return values
}
