package health

import "time"

const (
	// minFallen is the least number of runs that must have lost pace for their worker to be slow: a
	// single one may have changed its kind of work.
	minFallen = 2
	// idleRecovery is how long a slowed worker must have had no run to count as possibly recovered.
	idleRecovery = 2 * time.Second
	// slowMemory is how long a worker counts as slow after the last run that could tell has ended,
	// while it has other runs. It is the longest quarantine.
	slowMemory = maxQuarantine
	// keptPaceMemory is how long a worker counts as keeping pace: about as long as it takes to find
	// that it has turned slow.
	keptPaceMemory = 2 * time.Second
)

// PaceCounts counts the runs of a worker by the state of their pace.
type PaceCounts struct {
	// Listed is the number of all runs, known of those whose pace can be compared, fallen of those
	// that have lost pace, regained of those that have regained it or have become faster.
	Listed, known, fallen, regained int
	// lagging counts the lagging runs, keeping those that keep pace with their siblings, and sound
	// those of them that are known to be steady.
	lagging, keeping, sound int
	// LongTask is whether one of the runs lags as an earlier run of its task did on another worker.
	LongTask bool
	// laggingFor is how long the oldest lagging run has worked, keepingFor how long the newest run
	// that keeps pace has.
	laggingFor, keepingFor time.Duration
	// fallenShares is the sum of the shares of the runs that have lost pace.
	fallenShares float64
}

// Add adds a run.
func (c *PaceCounts) Add(p *Pace) {
	switch p.State() {
	case PaceUnknown:
		c.addKeeping(p)
		return
	case PaceFallen:
		c.fallen++
		c.fallenShares += p.Share()
	case PaceLagging:
		c.lagging++
		c.laggingFor = max(c.laggingFor, p.age())
	case PaceRegained, PaceRisen:
		c.regained++
	case PaceSteady:
		if p.keepsPace {
			c.sound++
		}
		c.addKeeping(p)
	}
	c.known++
}

// addKeeping adds a run if it keeps pace.
func (c *PaceCounts) addKeeping(p *Pace) {
	if !p.keepsPace {
		return
	}
	if c.keeping == 0 || p.age() < c.keepingFor {
		c.keepingFor = p.age()
	}
	c.keeping++
}

// Change is a change of a worker's slowdown.
type Change int

// The changes.
const (
	Unchanged Change = iota
	TurnedSlow
	Recovered
	// MayHaveRecovered: nothing has run on the worker for a while; only a new run can tell.
	MayHaveRecovered
)

// Slowdown tells from the paces of a worker's runs whether the worker has turned slow. The zero
// value has not.
type Slowdown struct {
	// since is when the worker was found slow; zero if it is not slow.
	since time.Time
	// evidenceAt is when a run last showed whether the worker is slow, busyAt when it last had a run.
	evidenceAt, busyAt time.Time
	share              float64
	// laggedAt is when a run was found to lag, keptPaceAt when one last kept pace with its siblings.
	laggedAt, keptPaceAt time.Time
}

// Slow reports whether the worker is slow.
func (s *Slowdown) Slow() bool { return !s.since.IsZero() }

// Since returns when the worker was found slow.
func (s *Slowdown) Since() time.Time { return s.since }

// Share returns the pace of the worker as a share of its usual pace, when it was last known.
func (s *Slowdown) Share() float64 { return s.share }

// Trust orders workers by how likely they are sound, likelier ones first.
type Trust int

// The trusts.
const (
	// KeepsPace: a run has lately kept pace with its siblings.
	KeepsPace Trust = iota
	NothingKnown
	// Lags: the worker is slow, or a run lagged there, which may be a long task.
	Lags
)

// Trust returns how likely the worker is sound.
func (s *Slowdown) Trust(now time.Time) Trust {
	switch {
	case s.Slow():
		return Lags
	case !s.keptPaceAt.IsZero() && now.Sub(s.keptPaceAt) < keptPaceMemory:
		return KeepsPace
	case !s.laggedAt.IsZero() && now.Sub(s.laggedAt) < slowMemory:
		return Lags
	}
	return NothingKnown
}

// Observe records the paces of the worker's runs.
func (s *Slowdown) Observe(now time.Time, c PaceCounts) Change {
	if c.Listed > 0 {
		s.busyAt = now
	}
	s.compare(now, c)
	if !s.Slow() {
		if !c.lost() {
			return Unchanged
		}
		s.since, s.evidenceAt, s.share = now, now, c.fallenShares/float64(c.fallen)
		return TurnedSlow
	}
	change := s.recovery(now, c)
	if change != Unchanged {
		s.since = time.Time{}
	}
	return change
}

// lost reports whether the runs show that their worker is slow. A lagging run may be a long task,
// so at least one must have lost pace; then each run that can tell must lag or have lost pace.
func (c PaceCounts) lost() bool {
	if c.fallen >= minFallen && 2*c.fallen > c.known {
		return true
	}
	return c.fallen > 0 && c.fallen+c.lagging >= minFallen && c.fallen+c.lagging == c.known
}

// compare records how the runs compare with their siblings. A steady run, or one that began later
// and keeps pace, shows that a lagging task is long, or that the worker is no longer slow.
func (s *Slowdown) compare(now time.Time, c PaceCounts) {
	if c.sound > 0 || c.keeping > 0 && s.laggedAt.Before(now.Add(-c.keepingFor)) {
		s.laggedAt = time.Time{}
	}
	if c.keeping > 0 {
		s.keptPaceAt = now
	}
	expired := s.laggedAt.IsZero() || now.Sub(s.laggedAt) >= slowMemory
	if c.lagging > 0 && c.sound == 0 && expired {
		s.laggedAt = now
	}
}

// recovery returns whether a slow worker has recovered. Only runs that have changed their pace can
// tell: one that began while the worker was slow knows no other pace.
func (s *Slowdown) recovery(now time.Time, c PaceCounts) Change {
	if c.fallen+c.regained > 0 {
		s.evidenceAt = now
	}
	switch {
	case c.Listed == 0 && now.Sub(s.busyAt) >= idleRecovery:
		return MayHaveRecovered
	case c.regained > c.fallen, now.Sub(s.evidenceAt) >= slowMemory:
		return Recovered
	}
	if c.fallen > 0 {
		s.share = c.fallenShares / float64(c.fallen)
	}
	return Unchanged
}
