package main

import (
	"fmt"
	"io"
)

const explainUsage = `
Says in one screen why a session waits: what is short, who holds it, and what would free it.

Example:

  yarrowgrade explain night-plates
`

type explainCommand struct {
	Session string `arg:"" help:"Name of the session."`
}

// Help implements kong.HelpProvider.
func (*explainCommand) Help() string { return explainUsage }

// Run implements the command.
func (c *explainCommand) Run(s *env) error {
	v, err := s.client.Explain(s.ctx, c.Session)
	if err != nil {
		return err
	}
	return s.print(v, func(w io.Writer) {
		fmt.Fprintf(w, "session %s of team %s\n", v.Session.Name, v.Session.Team)
		for _, line := range v.Lines {
			fmt.Fprintln(w, line)
		}
	})
}
