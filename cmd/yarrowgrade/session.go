package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/sessions/entry"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/placement"
)

const sessionUsage = `
A session is a long-running gang job. After "create" has answered, the session is kept until it finishes or is
cancelled: after any failure it waits again and goes on from its last checkpoint.

A gang gets all its accelerators or none. --adjacency says how close they must be: "worker" for one machine, "rack",
"zone", or "any".

Examples:

  yarrowgrade session create night-plates --team plates --accelerators 16 --adjacency rack --work 6h
  yarrowgrade session create swap-17 --team wards --accelerators 1 --urgent
  yarrowgrade session list
  yarrowgrade session cancel night-plates
`

type sessionCommands struct {
	Create sessionCreate `cmd:"" help:"Create a session."`
	List   sessionList   `cmd:"" help:"List sessions."`
	Show   sessionShow   `cmd:"" help:"Show one session and where it runs."`
	Cancel sessionCancel `cmd:"" help:"End a session."`
}

// Help implements kong.HelpProvider.
func (*sessionCommands) Help() string { return sessionUsage }

type sessionCreate struct {
	Name         string        `arg:"" help:"Name of the session, unique."`
	Team         string        `help:"Team that the session belongs to." required:""`
	Accelerators int           `help:"Number of accelerators, 1 to 64." required:""`
	Adjacency    string        `help:"How close the accelerators must be: any, zone, rack or worker." default:"any"`
	Urgent       bool          `help:"Go first, and take back accelerators that others have borrowed."`
	Work         time.Duration `help:"How long it runs, such as 6h. Zero runs until it is cancelled." default:"0s"`
}

// Run implements the command.
func (c *sessionCreate) Run(s *env) error {
	if c.Work < 0 || (c.Work > 0 && c.Work < time.Second) {
		return fault.BadField("work", "want 0 or at least 1s, got %v", c.Work)
	}
	v, err := s.client.CreateSession(s.ctx, ledger.SessionSpec{
		Name:   c.Name,
		Team:   c.Team,
		Shape:  placement.Shape{Accelerators: c.Accelerators, Adjacency: placement.Adjacency(c.Adjacency)},
		Urgent: c.Urgent,
		Work:   int64(c.Work / time.Second),
	})
	if err != nil {
		return err
	}
	return s.printSessions([]entry.SessionView{v}, v)
}

type sessionList struct {
	All bool `help:"Also those that have ended."`
}

// Run implements the command.
func (c *sessionList) Run(s *env) error {
	all, err := s.client.Sessions(s.ctx)
	if err != nil {
		return err
	}
	list := []entry.SessionView{}
	for _, v := range all {
		if c.All || !v.Ended() {
			list = append(list, v)
		}
	}
	return s.printSessions(list, list)
}

type sessionShow struct {
	Name string `arg:"" help:"Name of the session."`
}

// Run implements the command.
func (c *sessionShow) Run(s *env) error {
	v, err := s.client.Session(s.ctx, c.Name)
	if err != nil {
		return err
	}
	return s.print(v, func(w io.Writer) {
		fmt.Fprintf(w, "session\t%s\nteam\t%s\nshape\t%s\nphase\t%s for %s\nprogress\t%s\nrestarts\t%d\n",
			v.Name, v.Team, shapeText(v.Shape), v.Phase, ago(v.Since), v.Progress.Round(time.Second), v.Restarts)
		if v.Placement == nil {
			return
		}
		fmt.Fprintf(w, "placement\t%d, %s, %s\n", v.Placement.Token, v.Placement.Phase, kindText(v.Placement))
		for _, m := range v.Placement.Members {
			fmt.Fprintf(w, "member\t%s, accelerators %v\n", m.Worker, m.Accelerators)
		}
	})
}

type sessionCancel struct {
	Name string `arg:"" help:"Name of the session."`
}

// Run implements the command.
func (c *sessionCancel) Run(s *env) error {
	v, err := s.client.CancelSession(s.ctx, c.Name)
	if err != nil {
		return err
	}
	return s.printSessions([]entry.SessionView{v}, v)
}

func (s *env) printSessions(list []entry.SessionView, value any) error {
	return s.print(value, func(w io.Writer) {
		fmt.Fprintln(w, "SESSION\tTEAM\tSHAPE\tPHASE\tFOR\tKIND\tWORKERS")
		for _, v := range list {
			phase, where := string(v.Phase), "-"
			if v.Placement != nil {
				phase = string(v.Placement.Phase)
				where = workerNames(v.Placement.Members)
			}
			row(w, v.Name, v.Team, shapeText(v.Shape), phase, ago(v.Since), kindText(v.Placement), where)
		}
	})
}

func shapeText(s placement.Shape) string {
	return fmt.Sprintf("%d in one %s", s.Accelerators, s.Adjacency)
}

// kindText returns whether a placement uses a guarantee or is borrowed. Borrowed accelerators can
// be reclaimed.
func kindText(p *ledger.Placement) string {
	switch {
	case p == nil:
		return "-"
	case p.Borrowed:
		return "borrowed"
	}
	return "guaranteed"
}

func workerNames(members []placement.Member) string {
	var names []string
	for _, m := range members {
		names = append(names, m.Worker)
	}
	return strings.Join(names, ",")
}
