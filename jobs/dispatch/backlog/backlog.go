// Package backlog holds the forecast by which entries shed load: how much work waits or runs in
// each overloaded service, by priority and team. The leader computes it from its decisions and
// stores it; entries judge submissions by it (package admission).
//
// It is made for callers that together ask for more than the workers can do for many seconds, and
// whose teams differ much in how much they ask for. Work is measured in time of the whole service:
// a task's expected duration times its dominant share, the largest fraction of the service's
// capacity that it reserves in any resource.
//
// All values are immutable. The package uses no clock, network or store, and owns the stored form
// of a Forecast.
//
// # Usage
//
//	waiting := map[backlog.Key]time.Duration{{Priority: 1, Team: "a"}: time.Second}
//	b := backlog.NewService(capacity, waiting)
//	f := backlog.Forecast{}.With("sheet-scan", b).WithTerm(7)
//	value, err := f.Encode()
//	wait := b.Wait(1, "a", work, weight)
package backlog

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fairshare"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// MaxPriorities is the number of priorities that a forecast covers. It bounds the length of the
// stored list whatever queues are configured; jobs of lower priorities are not part of a forecast
// and are never refused.
const MaxPriorities = 16

// maxBacklog bounds the backlog of a team and the work of a step, so that sums can't overflow.
const maxBacklog = 100 * time.Hour

// Weight returns the weight of a team.
type Weight func(team string) float64

// EqualWeights gives every team the same weight.
func EqualWeights(string) float64 { return fairshare.DefaultWeight }

// Key names the backlog of a team at a priority. Jobs of public queues have the team "".
type Key struct {
	Priority int
	Team     string
}

// Service is the backlog of one service.
type Service struct {
	capacity job.Resources
	// priorities holds the backlog of each team by priority, without teams that have none.
	priorities []map[string]time.Duration
}

// NewService returns the backlog of a service whose workers have the given capacity. Backlogs are
// rounded up to whole milliseconds, the unit in which they are stored.
func NewService(capacity job.Resources, of map[Key]time.Duration) Service {
	s := Service{capacity: capacity}
	for k, d := range of {
		if d <= 0 || k.Priority < 0 || k.Priority >= MaxPriorities {
			continue
		}
		for len(s.priorities) <= k.Priority {
			s.priorities = append(s.priorities, map[string]time.Duration{})
		}
		s.priorities[k.Priority][k.Team] = (min(d, maxBacklog) + time.Millisecond - 1).Truncate(time.Millisecond)
	}
	return s
}

// Capacity returns the capacity of the service's workers.
func (s Service) Capacity() job.Resources { return s.capacity }

// All returns the backlog of each team at each priority.
func (s Service) All() iter.Seq2[Key, time.Duration] {
	return func(yield func(Key, time.Duration) bool) {
		for p, teams := range s.priorities {
			for _, team := range slices.Sorted(maps.Keys(teams)) {
				if !yield(Key{Priority: p, Team: team}, teams[team]) {
					return
				}
			}
		}
	}
}

// Empty reports whether no work waits or runs.
func (s Service) Empty() bool {
	return !slices.ContainsFunc(s.priorities, func(teams map[string]time.Duration) bool { return len(teams) > 0 })
}

// Work returns the work of a job by its caller's estimates, in time of the whole service. It
// returns false if the capacity of the service is not known to hold a task of each step.
func (s Service) Work(j *job.Job) (work time.Duration, ok bool) {
	for _, step := range j.Steps {
		share, ok := step.Reserved().DominantShare(s.capacity)
		if !ok || share > 1 {
			return 0, false
		}
		work += scale(step.Estimate, share*float64(step.Tasks))
	}
	return work, true
}

// Plus returns the backlog with the work of jobs that were submitted later. Long-running jobs and
// jobs with rounds are left out: how much of them waits is not known.
func (s Service) Plus(jobs []*job.Job) Service {
	if len(jobs) == 0 {
		return s
	}
	of := maps.Collect(s.All())
	for _, j := range jobs {
		if work, ok := s.Work(j); ok && !j.LongRunning() && j.RoundCount == 0 {
			of[Key{Priority: j.Priority, Team: j.Team}] += work
		}
	}
	return NewService(s.capacity, of)
}

// Wait returns the expected time until new work of a team is done, without the work itself: all
// work of higher priorities is done first, and teams of the same priority share the service in
// proportion to their weights.
func (s Service) Wait(priority int, team string, work time.Duration, weight Weight) time.Duration {
	shared := fairshare.New(weight).WithAll(s.teams(priority))
	return s.above(priority) + time.Duration(shared.Wait(team, float64(work)))
}

// Total returns the backlog of all teams at a priority and the higher ones.
func (s Service) Total(priority int) time.Duration {
	sum := s.above(priority)
	for _, d := range s.teams(priority) {
		sum += time.Duration(d)
	}
	return sum
}

// After returns the backlog that is left when the service has worked for d and nothing was added.
// Higher priorities are worked off first; teams of one priority share the service by weight.
func (s Service) After(d time.Duration, weight Weight) Service {
	left := Service{capacity: s.capacity}
	for p, teams := range s.priorities {
		total := s.Total(p) - s.above(p)
		if total <= d {
			d -= total
			left.priorities = append(left.priorities, map[string]time.Duration{})
			continue
		}
		left.priorities = append(left.priorities, drain(teams, d, weight))
		d = 0
	}
	return left
}

// drain returns the backlogs that are left after d of work, which is less than their sum. Every
// team is served in proportion to its weight until its backlog is done.
func drain(teams map[string]time.Duration, d time.Duration, weight Weight) map[string]time.Duration {
	perWeight := func(team string) float64 { return float64(teams[team]) / fairshare.ValidWeight(weight(team)) }
	order := slices.SortedFunc(maps.Keys(teams), func(a, b string) int {
		return cmp.Or(cmp.Compare(perWeight(a), perWeight(b)), cmp.Compare(a, b))
	})
	weights := 0.0
	for _, team := range order {
		weights += fairshare.ValidWeight(weight(team))
	}
	left, level, rest := map[string]time.Duration{}, 0.0, float64(d)
	for i, team := range order {
		rise := perWeight(team) - level
		if rise*weights > rest {
			level += rest / weights
			for _, t := range order[i:] {
				if l := teams[t] - time.Duration(level*fairshare.ValidWeight(weight(t))); l > 0 {
					left[t] = l
				}
			}
			return left
		}
		rest -= rise * weights
		level += rise
		weights -= fairshare.ValidWeight(weight(team))
	}
	return left
}

// upTo returns the backlogs at a priority and the higher ones.
func (s Service) upTo(priority int) []map[string]time.Duration {
	return s.priorities[:min(max(priority+1, 0), len(s.priorities))]
}

// above returns the backlog of all teams at the priorities higher than the given one.
func (s Service) above(priority int) time.Duration {
	sum := time.Duration(0)
	for _, teams := range s.upTo(priority - 1) {
		for _, d := range teams {
			sum += d
		}
	}
	return sum
}

// teams returns the backlogs of the teams at a priority, sorted by name.
func (s Service) teams(priority int) iter.Seq2[string, float64] {
	return func(yield func(string, float64) bool) {
		if priority < 0 || priority >= len(s.priorities) {
			return
		}
		teams := s.priorities[priority]
		for _, team := range slices.Sorted(maps.Keys(teams)) {
			if !yield(team, float64(teams[team])) {
				return
			}
		}
	}
}

// scale multiplies a duration; the result is bounded, so that extreme estimates don't overflow.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(min(float64(d)*factor, float64(maxBacklog)))
}
