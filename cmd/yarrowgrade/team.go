package main

import (
	"fmt"
	"io"

	"yarrowgrade.example/yarrowgrade/sessions/entry"
)

const teamUsage = `
A team has guarantees: shapes that it can reclaim at any time, even while others have borrowed them. A team is declared
with "config put team/NAME".

Examples:

  yarrowgrade team list
  yarrowgrade team show plates
`

type teamCommands struct {
	List teamList `cmd:"" help:"List teams."`
	Show teamShow `cmd:"" help:"Show one team."`
}

// Help implements kong.HelpProvider.
func (*teamCommands) Help() string { return teamUsage }

type teamList struct{}

// Run implements the command.
func (c *teamList) Run(s *env) error {
	list, err := s.client.Teams(s.ctx)
	if err != nil {
		return err
	}
	return s.printTeams(list, list)
}

type teamShow struct {
	Name string `arg:"" help:"Name of the team."`
}

// Run implements the command.
func (c *teamShow) Run(s *env) error {
	v, err := s.client.Team(s.ctx, c.Name)
	if err != nil {
		return err
	}
	return s.printTeams([]entry.TeamView{v}, v)
}

func (s *env) printTeams(list []entry.TeamView, value any) error {
	return s.print(value, func(w io.Writer) {
		fmt.Fprintln(w, "TEAM\tSHARE\tSESSIONS\tGUARANTEE\tUSED")
		for _, v := range list {
			if len(v.Entitlements) == 0 {
				row(w, v.Name, v.Share, v.Sessions, "-", "-")
			}
			for _, e := range v.Entitlements {
				guarantee := fmt.Sprintf("%d × %s", e.Count, shapeText(e.Shape))
				row(w, v.Name, v.Share, v.Sessions, guarantee, e.Used)
			}
		}
	})
}
