package entry

import (
	"fmt"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/placement"
)

// explain returns a few lines of text that explain why a session runs or waits.
func (e *Entry) explain(state ledger.State, s ledger.Session) []string {
	switch s.Phase {
	case ledger.SessionFinished, ledger.SessionCancelled:
		return []string{fmt.Sprintf("%s since %s.", s.Phase, formatTime(s.Since))}
	case ledger.SessionPlaced:
		p, _ := state.Placement(s.Token)
		return []string{fmt.Sprintf("placed by placement %d, which is %s on %d workers. %s",
			p.Token, p.Phase, len(p.Members), p.Reason)}
	}
	lines := []string{fmt.Sprintf("waits since %s for %d accelerators in one %s; restarted %d times.",
		formatTime(s.Since), s.Shape.Accelerators, adjacencyScope(s.Shape.Adjacency), s.Restarts)}
	in := state.DecisionInput(time.Now(), e.yieldRank(state))
	lines = append(lines, placement.Explain(in, state.Profile(), s.Name)...)
	if health := e.log.Load(); !health.reachable {
		lines = append(lines, fmt.Sprintf("The log has not answered for %s; nothing new is placed until it does.",
			time.Since(health.lastRead).Round(time.Second)))
	}
	return lines
}

func adjacencyScope(a placement.Adjacency) string {
	switch a {
	case placement.SameRegion:
		return "region"
	case placement.SameZone:
		return "availability zone"
	}
	return string(a)
}

func formatTime(millis int64) string { return time.UnixMilli(millis).UTC().Format(time.RFC3339) }
