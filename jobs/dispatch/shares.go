package dispatch

import (
	"maps"
	"math"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fairshare"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// Shares are made for a service whose teams ask for more than there is, two of ten teams for most
// of it. Without shares, units of one priority are ordered by objective alone, and a team with one
// job or two waits as long as a team that submits half of all jobs. docs/design/team-shares.md has
// the reasons.

const (
	// usageDecay is the time constant with which a team's past usage is forgotten. Callers of work
	// that is not urgent expect an end within about half a minute (three times 10 s, and a few
	// seconds): within that time, a team that had more than others lets them go first.
	usageDecay = 30 * time.Second
	// negligibleUsage is the share of a service below which a team's past usage is forgotten: it is
	// less than a task of one accelerator takes of 1,500.
	negligibleUsage = 0.0005
)

// shareKey identifies a team at a service. Jobs of public queues have no team and count together as
// one.
type shareKey struct{ service, team string }

// teamWeight returns the weight of a team.
func teamWeight(string) float64 { return fairshare.DefaultWeight }

// teamUsage is what the teams use of one service, as dominant shares. It is an immutable value; the
// zero value has observed nothing.
type teamUsage struct {
	// began and at are the times of the first and the latest observation.
	began, at time.Time
	// recent is the decayed average of what was held, current the sum of recent and of what is held
	// now.
	recent, current fairshare.Usage[string]
}

// observed returns the usage after an observation of what each team holds now. The average covers
// the time since the first observation only, so that a new leader begins with what is running, and
// forgets what it saw before most workers had reported.
func (u teamUsage) observed(now time.Time, held fairshare.Usage[string]) teamUsage {
	if u.began.IsZero() {
		return teamUsage{began: now, at: now, recent: held, current: held.WithAll(held.Held())}
	}
	recent := u.recent
	if now.After(u.at) {
		part := forgotten(now.Sub(u.at)) / forgotten(now.Sub(u.began))
		recent = recent.Scaled(1-part, negligibleUsage).WithAll(held.Scaled(part, 0).Held())
	}
	return teamUsage{began: u.began, at: now, recent: recent, current: recent.WithAll(held.Held())}
}

// forgotten returns the part of a past usage that is forgotten after a time.
func forgotten(after time.Duration) float64 {
	return 1 - math.Exp(-after.Seconds()/usageDecay.Seconds())
}

// addHeld adds what the placed runs of a job reserve to what its team holds.
func (p *plan) addHeld(t *trackedJob, held job.Resources) {
	if held == (job.Resources{}) {
		return
	}
	key := shareKey{t.job.Service, t.job.Team}
	p.held[key] = p.held[key].Plus(held, 1)
}

// measureUsage updates the teams' usage of each service from what is placed. A service without
// capacity has nothing to share; its usage stays as it is.
func (p *plan) measureUsage() {
	held := map[string]map[string]float64{}
	for service, load := range p.loads {
		if load.capacity != (job.Resources{}) {
			held[service] = map[string]float64{}
		}
	}
	for key, r := range p.held {
		if teams := held[key.service]; teams != nil {
			teams[key.team], _ = r.DominantShare(p.loads[key.service].capacity)
		}
	}
	for service, teams := range held {
		now := fairshare.NewUsage(teamWeight).WithAll(maps.All(teams))
		p.recordUsage(service, p.usage[service].observed(p.now, now))
	}
}

// tagUnits sets the start tags of the units of services that are overloaded and where units of two
// teams or more wait, and reports whether there are any. The units are given in the order in which
// each team wants its own, which the tags keep. Units of other services have equal tags.
func (p *plan) tagUnits(ordered []waitingUnit) bool {
	if !p.has(TeamShares) {
		return false
	}
	waiting := map[string][]*waitingUnit{}
	for i := range ordered {
		if w := &ordered[i]; p.overloaded(*w) {
			waiting[w.tracked.job.Service] = append(waiting[w.tracked.job.Service], w)
		}
	}
	tagged := false
	for service, units := range waiting {
		if u := p.usage[service]; len(teamsOf(units)) > 1 && !u.began.IsZero() {
			p.setTags(units, u.current)
			markAboveShare(units, u.current)
			tagged = true
		}
	}
	return tagged
}

// setTags sets the start tags of a service's units (start-time fair queueing): the usage of a
// unit's team when the unit starts, if the team's units before it have started. Units covered by a
// guarantee add to their team's usage, but get no tag of their own.
func (p *plan) setTags(units []*waitingUnit, usage fairshare.Usage[string]) {
	tags := usage.StartTags(func(yield func(team string, share float64) bool) {
		for _, w := range units {
			if !yield(w.tracked.job.Team, p.shareOf(*w)) {
				return
			}
		}
	})
	for i, w := range units {
		if !w.guaranteed {
			w.startTag = tags[i]
		}
	}
}

// markAboveShare marks the units of teams that have used more than the mean of the teams that wait
// at the same priority.
func markAboveShare(units []*waitingUnit, usage fairshare.Usage[string]) {
	byPriority := map[int][]*waitingUnit{}
	for _, w := range units {
		if !w.guaranteed {
			byPriority[w.tracked.job.Priority] = append(byPriority[w.tracked.job.Priority], w)
		}
	}
	for _, same := range byPriority {
		teams, sum := teamsOf(same), 0.0
		for _, team := range teams {
			sum += usage.Of(team)
		}
		for _, w := range same {
			w.aboveShare = usage.Of(w.tracked.job.Team)*float64(len(teams)) > sum
		}
	}
}

// shareOf returns the dominant share of a unit. A unit that would not fit even if nothing ran
// but long-running tasks is not charged: its team's other units would come last for as long as it waits.
func (p *plan) shareOf(w waitingUnit) float64 {
	if !fitsEmpty(w, p.nodes, emptyAvailable) {
		return 0
	}
	all := job.Resources{}.Plus(w.step.Reserved(), len(w.unit.Tasks))
	share, _ := all.DominantShare(p.loads[w.tracked.job.Service].capacity)
	return share
}

// teamsOf returns the teams of the given units, each once.
func teamsOf(units []*waitingUnit) []string {
	var teams []string
	seen := map[string]bool{}
	for _, w := range units {
		if team := w.tracked.job.Team; !seen[team] {
			seen[team] = true
			teams = append(teams, team)
		}
	}
	return teams
}

// reasonWithoutCapacity returns why a unit for which there is no capacity waits. Once the team's
// usage was a reason it stays one until another reason takes its place: the usage of teams that
// alternate is at times above and at times below their mean, and each change would be logged.
func (p *plan) reasonWithoutCapacity(w waitingUnit) waitReason {
	if w.aboveShare || w.tracked.waitReasons[w.first()] == waitTeamShare {
		return waitTeamShare
	}
	return waitNoCapacity
}
