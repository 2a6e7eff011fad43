package main

import (
	"fmt"
	"io"
	"sort"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/entry"
	"yarrowgrade.example/yarrowgrade/sessions/membership"
)

const statusUsage = `
One line for each entry and each agent: the revision of the configuration in force, when it was last heard, whether it
is live or leaving, and for entries whether the log can be reached. Guarantees that could not be reclaimed now follow;
there should be none.

Example:

  yarrowgrade status
`

type statusCommand struct{}

// Help implements kong.HelpProvider.
func (*statusCommand) Help() string { return statusUsage }

// Run implements the command.
func (c *statusCommand) Run(s *env) error {
	v, err := s.client.Status(s.ctx)
	if err != nil {
		return err
	}
	return s.print(v, func(w io.Writer) { printStatus(w, v) })
}

func printStatus(w io.Writer, v entry.Status) {
	fmt.Fprintln(w, "ROLE\tNAME\tSTATE\tCONFIG\tHEARD\tLOG")
	for _, e := range v.Entries {
		if e.Error != "" {
			row(w, "entry", e.Address, "no answer", "-", "-", e.Error)
			continue
		}
		row(w, "entry", e.Name, liveness(e.Leaving), e.ConfigRevision, "-", logText(e))
	}
	for _, a := range agents(v.Entries) {
		heard := (time.Duration(a.SinceViewMillis) * time.Millisecond).Round(100 * time.Millisecond)
		row(w, "agent", a.Worker, liveness(a.Leaving), a.ConfigRevision, heard.String()+" ago", "-")
	}
	for _, g := range v.Shortfall {
		fmt.Fprintf(w, "SHORT\tteam %s could not have %s back\n", g.Team, shapeText(g.Shape))
	}
}

// agents returns the newest status of each agent, sorted by name. Two entries report an agent that
// has just moved from one to the other.
func agents(entries []membership.EntryStatus) []membership.AgentStatus {
	newest := make(map[string]membership.AgentStatus)
	for _, e := range entries {
		for _, a := range e.Agents {
			if old, found := newest[a.Worker]; !found || a.SinceViewMillis < old.SinceViewMillis {
				newest[a.Worker] = a
			}
		}
	}
	var list []membership.AgentStatus
	for _, a := range newest {
		list = append(list, a)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Worker < list[j].Worker })
	return list
}

func liveness(leaving bool) string {
	if leaving {
		return "leaving"
	}
	return "live"
}

func logText(e membership.EntryStatus) string {
	if e.LogReachable {
		return fmt.Sprintf("reachable, revision %d", e.Revision)
	}
	silent := time.Duration(e.SinceLogMillis) * time.Millisecond
	return fmt.Sprintf("silent for %s, revision %d", silent.Round(time.Second), e.Revision)
}
