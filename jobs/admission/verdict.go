package admission

import (
	"fmt"
	"sort"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/dispatch/backlog"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

const (
	// expiredSpans is the time after which a job has no value to its caller, as a multiple of the time
	// from its acceptance to its objective. It agrees with expiredFactor of package dispatch, which
	// counts from the objective and is therefore one less.
	expiredSpans = 3
	// Limits of the time after which a refused caller is expected to be accepted. Callers try up to
	// four times, so that a longer delay than maxShedDelay would end their tries.
	minShedDelay = time.Second
	maxShedDelay = 30 * time.Second
	// shedDelayStep is the precision of that time, since Retry-After is in whole seconds.
	shedDelayStep = time.Second
)

// submission is what the verdict on a submission depends on. The verdict uses no clock, network or
// state besides it.
type submission struct {
	job *job.Job
	// forecast is the newest forecast, age its greatest possible age, and later holds the jobs that
	// were submitted after it.
	forecast backlog.Forecast
	age      time.Duration
	later    []*job.Job
	weight   backlog.Weight
}

// verdict is the decision on a submission. The zero value accepts it.
type verdict struct {
	// reason is why the submission is refused, or empty if it is accepted.
	reason string
	// wait is the expected time until the job is done, without its own work.
	wait time.Duration
	// delay is the time after which a job like this is expected to be accepted.
	delay time.Duration
}

func (v verdict) refused() bool { return v.reason != "" }

// judge decides whether a valid submission with an unknown ID is refused because its service is
// overloaded.
func (s submission) judge() verdict {
	j := s.job
	service, overloaded := s.forecast.Service(j.Service)
	if !overloaded || s.age >= backlog.MaxAge || s.neverRefused() {
		return verdict{}
	}
	work, ok := service.Work(j)
	if !ok {
		return verdict{}
	}
	service = service.Plus(s.laterJobs())
	v := s.judgeBy(service, work)
	if v.refused() {
		v.delay = s.delay(service, work)
	}
	return v
}

// laterJobs returns the later jobs of the same service.
func (s submission) laterJobs() []*job.Job {
	var jobs []*job.Job
	for _, j := range s.later {
		if j.Service == s.job.Service {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// neverRefused reports whether the job is of a kind that is never refused for overload. The wait of a
// fair share does not hold for urgent jobs, which guarantees may cover: work is stopped for them, and
// small ones come before large ones.
func (s submission) neverRefused() bool {
	j := s.job
	return j.Priority <= 0 || j.Priority >= backlog.MaxPriorities || j.LongRunning() || j.RoundCount > 0
}

// judgeBy judges the job by a backlog of its service, given its work in time of the whole service.
// It is refused only if it would no longer be of use: late work still has a value to its caller.
// The wait is that of a fair share, so a team with more than its part of a backlog that can't be
// worked off is refused while others are not.
func (s submission) judgeBy(service backlog.Service, work time.Duration) verdict {
	j := s.job
	chain := j.CriticalPath(func(step int) time.Duration { return j.Steps[step].Estimate })
	span := time.Duration(j.ObjectiveFactor*float64(chain)) + j.ObjectiveSlack
	if span <= 0 {
		// The queue states no objective.
		return verdict{}
	}
	v := verdict{wait: service.Wait(j.Priority, j.Team, work, s.weight)}
	if v.wait > expiredSpans*span {
		v.reason = fmt.Sprintf(
			"the service is overloaded: this job would wait for %s and be of no use any more", seconds(v.wait))
	}
	return v
}

// delay returns the time after which the job is expected to be accepted if the service works off
// its backlog and nothing is added.
func (s submission) delay(service backlog.Service, work time.Duration) time.Duration {
	steps := int(maxShedDelay / shedDelayStep)
	first := 1 + sort.Search(steps-1, func(i int) bool {
		after := service.After(time.Duration(i+1)*shedDelayStep, s.weight)
		return !s.judgeBy(after, work).refused()
	})
	return max(time.Duration(first)*shedDelayStep, minShedDelay)
}

// seconds formats a duration for callers.
func seconds(d time.Duration) string { return fmt.Sprintf("%.1f s", d.Seconds()) }
