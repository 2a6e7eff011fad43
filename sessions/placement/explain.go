package placement

import (
	"fmt"
	"sort"
	"strings"
)

// maxExplainedHolders is the maximum number of placements that an explanation lists.
const maxExplainedHolders = 8

// Explain returns lines that describe why a waiting session does not start: where it would fit
// best, which placements hold the accelerators there, and what the session is waiting for.
func Explain(input Input, profile Profile, session string) []string {
	d := newDecider(input, profile)
	var w Waiting
	for _, candidate := range input.Waiting {
		if candidate.Session == session {
			w = candidate
		}
	}
	if w.Session == "" {
		return []string{"The session is not waiting."}
	}
	lines := []string{d.explainGuarantee(w)}
	at := d.mostReclaimable(w)
	if at < 0 {
		return append(lines, "No place in the system is large enough, even when empty.")
	}
	lines = append(lines, fmt.Sprintf("The best place is %s: %d of %d accelerators are free, %d can be reclaimed.",
		d.domainName(at), d.free.free[at], d.free.size[at], d.reclaimable.free[at]-d.free.free[at]))
	lines = append(lines, d.explainHolders(at)...)
	for _, decision := range Decide(input, profile) {
		if decision.Session != session {
			continue
		}
		if len(decision.Victims) > 0 {
			return append(lines, fmt.Sprintf("The session is about to reclaim placements %v.", decision.Victims))
		}
		return append(lines, "The session is about to start.")
	}
	if d.reclaimingFor[session] {
		return append(lines, "Borrowed placements are being stopped for it.")
	}
	if d.free.free[at] >= w.Shape.Accelerators {
		return append(lines, "The free accelerators are held for a gang that has waited longer.")
	}
	return append(lines, "The session starts when enough of these placements have ended.")
}

func (d *decider) explainGuarantee(w Waiting) string {
	if i := d.entitlement(w); i >= 0 {
		return fmt.Sprintf(
			"Team %s has an unused guarantee for this shape, so borrowed accelerators can be reclaimed.",
			w.Team)
	}
	if w.Urgent {
		return "The session is urgent, so borrowed accelerators can be reclaimed."
	}
	return fmt.Sprintf(
		"Team %s has no unused guarantee for this shape, so the session waits for free accelerators.",
		w.Team)
}

// mostReclaimable returns, among the domains that are large enough for the session, the one with
// the most free accelerators. Ties go to the domain with the most borrowed ones. It returns -1 if
// no domain is large enough.
func (d *decider) mostReclaimable(w Waiting) int {
	found := -1
	for _, at := range d.topology.domains(w.Shape.Adjacency) {
		if d.free.size[at] < w.Shape.Accelerators {
			continue
		}
		if found < 0 || d.free.free[at] > d.free.free[found] ||
			(d.free.free[at] == d.free.free[found] && d.reclaimable.free[at] > d.reclaimable.free[found]) {
			found = at
		}
	}
	return found
}

// domainName returns the name of a domain for an explanation.
func (d *decider) domainName(at int) string {
	first := Worker{}
	d.eachWorker(at, func(worker int) {
		if first.Name == "" {
			first = d.input.Workers[worker]
		}
	})
	switch d.topology.nodes[at].level {
	case rootLevel:
		return "the whole system"
	case regionLevel:
		if first.Region == "" {
			return "the whole system"
		}
		return "region " + first.Region
	case zoneLevel:
		return "availability zone " + first.Zone
	case rackLevel:
		return "rack " + first.Zone + "/" + first.Rack
	}
	return "worker " + first.Name
}

func (d *decider) explainHolders(at int) []string {
	countByToken := make(map[int64]int)
	d.eachWorker(at, func(worker int) {
		for _, h := range d.input.Workers[worker].Holders {
			if h > 0 {
				countByToken[h]++
			}
		}
	})
	tokens := make([]int64, 0, len(countByToken))
	for token := range countByToken {
		tokens = append(tokens, token)
	}
	sort.Slice(tokens, func(i, j int) bool { return countByToken[tokens[i]] > countByToken[tokens[j]] })
	var lines []string
	for i, token := range tokens {
		if i == maxExplainedHolders {
			lines = append(lines, fmt.Sprintf("  and %d more placements", len(tokens)-i))
			break
		}
		lines = append(lines, "  "+d.describe(token, countByToken[token]))
	}
	return lines
}

func (d *decider) describe(token int64, count int) string {
	p, found := d.running[token]
	if !found {
		return fmt.Sprintf("%d held by placement %d", count, token)
	}
	notes := []string{"held under its guarantee"}
	if p.Borrowed {
		notes[0] = "borrowed"
	}
	if p.Stopping {
		notes = append(notes, "stopping")
	}
	if p.Remaining > 0 {
		notes = append(notes, "ends in about "+p.Remaining.Round(1e9).String())
	}
	return fmt.Sprintf("%d held by session %s of team %s (placement %d, %s)",
		count, p.Session, p.Team, token, strings.Join(notes, ", "))
}
