// Package rollout recognizes that the workers of a service are being replaced by ones of another
// software version, and predicts which of the present workers leave soon.
//
// It is made for this load: a third of 66 workers is replaced. Five new ones appear every 0.9 s
// under names of their own, and as many old ones begin to drain 2.5 s after each five. They leave
// 4.5 s later. Nothing tells the old workers that stay from those that leave.
//
// A Service keeps everything in memory and relies on the caller for the time. It is not safe for
// concurrent use. A new leader begins with an empty one and learns the versions again.
//
// # Usage
//
//	s := rollout.NewService()
//	s.Report(now, rollout.Worker{Name: "w1", Version: "1.4"})
//	s.Left(now, "w1")              // its incarnation has ended
//	s.Advance(now)                 // true if a rollout began or ended
//	s.LikelyToLeave("1.4")         // while a rollout replaces that version
package rollout

import (
	"maps"
	"slices"
	"time"
)

const (
	// progressWindow is how long a rollout counts as in progress without a worker that appears or
	// begins to drain. It is longer than the time between two groups of a rollout, and short enough
	// that a rollout which stands still soon stops affecting placement.
	progressWindow = 10 * time.Second
	// learningTime is how long after the first report workers that appear are taken as present
	// before. All agents find a new leader within it.
	learningTime = 3 * time.Second
	// minChanges is how many workers must appear or begin to drain within progressWindow to begin
	// or to reverse a rollout between known versions. A single one may have been scaled in or out.
	minChanges = 2
	// memberRetention is how long a worker that has left is remembered, so that it is not taken for a
	// new one when it returns. It is longer than a box is away for a restart.
	memberRetention = 10 * time.Minute
	// noticesKept is how many recent notices are kept. Notice returns the shortest of them, so an
	// unusually short one is forgotten after as many drains.
	noticesKept = 16
)

// Worker is a worker as it reports itself.
type Worker struct {
	Name string
	// Version is empty if the worker's agent doesn't pass it on. Such a worker is ignored.
	Version  string
	Draining bool
	// Notice is how long a draining worker stays at least.
	Notice time.Duration
}

// Service follows the rollouts of one service.
type Service struct {
	// since is the time of the first report.
	since    time.Time
	members  map[string]*member
	versions map[string]*version
	// latest is the highest rank of a version.
	latest int

	// target is the version that the present or the last rollout installs; empty before the first.
	target string
	// progressAt is when the rollout last progressed, active whether it is in progress.
	progressAt time.Time
	active     bool
	// announced is the state that Advance last returned.
	announced bool
	// notices are those of the workers that drained most recently in a rollout.
	notices []time.Duration
}

// member is a worker that has reported a version, also after it has left: a worker that returns
// with the same version is no new one.
type member struct {
	version  string
	present  bool
	draining bool
	// leftAt is when it was last present; zero if it is present.
	leftAt time.Time
}

// version is a version that a worker has reported.
type version struct {
	// rank grows in the order in which the versions appeared. Versions that were present when the
	// service was first seen share the rank 0, since their order is not known.
	rank    int
	present int
	// appeared and drained hold the workers that newly appeared and that began to drain, each with
	// the time.
	appeared, drained map[string]time.Time
}

// NewService returns a service without workers.
func NewService() *Service {
	return &Service{members: map[string]*member{}, versions: map[string]*version{}}
}

// Report applies a worker's report.
func (s *Service) Report(now time.Time, w Worker) {
	if s.since.IsZero() {
		s.since = now
	}
	m, known := s.members[w.Name]
	if !known {
		m = &member{version: w.Version}
		s.members[w.Name] = m
	}
	if w.Version == "" {
		s.Left(now, w.Name)
		return
	}
	// An agent of the previous version doesn't pass the version on. A worker whose agent is replaced
	// has had its version before.
	learned := known && m.version == "" || now.Sub(s.since) < learningTime
	changed := !known || m.version != w.Version
	if changed {
		s.Left(now, w.Name)
		m.version = w.Version
	}
	v := s.version(w.Version)
	existing := v.present > 0
	if !m.present {
		m.present = true
		v.present++
	}
	if changed && !learned {
		s.appeared(now, w.Name, w.Version, existing)
	}
	if w.Draining && !m.draining {
		s.drains(now, w, !known)
	}
	m.draining = w.Draining
}

// Left records that an incarnation of a worker has ended.
func (s *Service) Left(now time.Time, worker string) {
	m := s.members[worker]
	if m == nil {
		return
	}
	if m.present {
		s.versions[m.version].present--
	}
	m.present, m.draining, m.leftAt = false, false, now
}

// version returns what is known of a version, which may be new.
func (s *Service) version(name string) *version {
	v := s.versions[name]
	if v == nil {
		v = &version{appeared: map[string]time.Time{}, drained: map[string]time.Time{}}
		s.versions[name] = v
	}
	return v
}

// appeared records a new worker. The first worker of a version that no present worker has begins a
// rollout.
func (s *Service) appeared(now time.Time, worker, name string, existing bool) {
	v := s.versions[name]
	v.appeared[worker] = now
	if !existing {
		s.latest++
		v.rank = s.latest
		s.begin(now, name)
		return
	}
	s.progress(now, name, name == s.target)
}

// drains records a worker that begins to drain. What a worker announces that was draining when it
// was first seen is only the rest of its notice.
func (s *Service) drains(now time.Time, w Worker, firstReport bool) {
	s.versions[w.Version].drained[w.Name] = now
	s.progress(now, s.successor(now, w.Version), s.active && w.Version != s.target)
	if s.active && w.Version != s.target && !firstReport {
		s.notices = append(s.notices, w.Notice)
		s.notices = s.notices[max(0, len(s.notices)-noticesKept):]
	}
}

// progress continues the present rollout if the change belongs to it, and otherwise begins one that
// installs the candidate if there is enough evidence.
func (s *Service) progress(now time.Time, candidate string, belongs bool) {
	s.advance(now)
	switch {
	case s.active && belongs:
		s.progressAt = now
	case candidate != "" && candidate != s.activeTarget() && s.installs(now, candidate):
		s.begin(now, candidate)
	}
}

// activeTarget returns the version that the rollout in progress installs, or an empty string.
func (s *Service) activeTarget() string {
	if !s.active {
		return ""
	}
	return s.target
}

// installs reports whether recent changes show that workers of a known version replace others.
// Workers of the newest version suffice, or drains of the others. A return to an earlier version
// needs both, since workers of the earlier version may be added in the middle of a rollout.
func (s *Service) installs(now time.Time, candidate string) bool {
	v := s.versions[candidate]
	appears := count(now, v.appeared) >= minChanges
	drains := 0
	for name, other := range s.versions {
		if name != candidate {
			drains += count(now, other.drained)
		}
	}
	if v.rank < s.highestPresent() {
		return appears && drains >= minChanges
	}
	return appears || drains >= minChanges && drains > count(now, v.drained)
}

// highestPresent returns the rank of the newest version that a present worker has.
func (s *Service) highestPresent() int {
	highest := 0
	for _, v := range s.versions {
		if v.present > 0 {
			highest = max(highest, v.rank)
		}
	}
	return highest
}

// successor returns the version that most likely replaces workers of a version that drain: the one
// with the fewest drains and the most new workers; of these the newest, or else the rarest.
func (s *Service) successor(now time.Time, drained string) string {
	best := ""
	for _, name := range slices.Sorted(maps.Keys(s.versions)) {
		if name == drained || s.versions[name].present == 0 {
			continue
		}
		if best == "" || s.likelier(now, s.versions[name], s.versions[best]) {
			best = name
		}
	}
	return best
}

// likelier reports whether version a is more likely than b to replace workers that drain.
func (s *Service) likelier(now time.Time, a, b *version) bool {
	x, y := count(now, a.appeared)-count(now, a.drained), count(now, b.appeared)-count(now, b.drained)
	switch {
	case x != y:
		return x > y
	case a.rank != b.rank:
		return a.rank > b.rank
	}
	return a.present < b.present
}

// count drops the changes that are older than progressWindow, and returns the number of the others.
func count(now time.Time, changes map[string]time.Time) int {
	maps.DeleteFunc(changes, func(_ string, at time.Time) bool { return now.Sub(at) >= progressWindow })
	return len(changes)
}

// begin begins a rollout. Earlier changes are forgotten, so that they don't reverse it.
func (s *Service) begin(now time.Time, target string) {
	s.active, s.target, s.progressAt = true, target, now
	for _, v := range s.versions {
		clear(v.appeared)
		clear(v.drained)
	}
}

// advance ends a rollout that has not progressed for progressWindow, or that has replaced all
// workers of other versions.
func (s *Service) advance(now time.Time) {
	if !s.active {
		return
	}
	others := 0
	for name, v := range s.versions {
		if name != s.target {
			others += v.present
		}
	}
	if now.Sub(s.progressAt) >= progressWindow || others == 0 || s.versions[s.target].present == 0 {
		s.active = false
	}
}

// Advance ends a rollout that no longer progresses. It reports whether a rollout has begun or ended
// since the last call.
func (s *Service) Advance(now time.Time) (changed bool) {
	s.advance(now)
	maps.DeleteFunc(s.members, func(_ string, m *member) bool {
		return !m.present && now.Sub(m.leftAt) >= memberRetention
	})
	changed = s.active != s.announced
	s.announced = s.active
	return changed
}

// InProgress reports whether a rollout is in progress.
func (s *Service) InProgress() bool { return s.active }

// Target returns the version that the present or the last rollout installs.
func (s *Service) Target() string { return s.target }

// LikelyToLeave reports whether a rollout replaces workers of the version.
func (s *Service) LikelyToLeave(version string) bool {
	return s.active && version != "" && version != s.target
}

// Notice returns the shortest time that workers announced which recently drained in a rollout, or
// zero if none did.
func (s *Service) Notice() time.Duration {
	if len(s.notices) == 0 {
		return 0
	}
	return slices.Min(s.notices)
}
