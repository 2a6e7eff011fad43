package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"yarrowgrade.example/yarrowgrade/admission"
)

const jobUsage = `
job shows jobs on the users' platform. Any job entry answers, at the first port of its range; give its address with --entry.

Examples:

  yarrowgrade --entry http://10.1.0.19:7000 job list
  yarrowgrade --entry http://10.1.0.19:7000 job show 7b1f7d2030478d63
`

type jobCommands struct {
	List jobList `cmd:"" help:"List the jobs that are stored."`
	Show jobShow `cmd:"" help:"Show a job with its tasks: run, worker, failures, done or not."`
}

// Help implements kong.HelpProvider.
func (*jobCommands) Help() string { return jobUsage }

type jobList struct{}

// Run implements the command.
func (*jobList) Run(s *session) error {
	jobs, err := s.client.Jobs(s.ctx)
	if err != nil {
		return err
	}
	return s.print(jobs, func(w io.Writer) {
		fmt.Fprintln(w, "ID\tQUEUE\tTEAM\tPRIORITY\tPHASE\tACCEPTED")
		for _, j := range jobs {
			printSummary(w, j)
		}
	})
}

func printSummary(w io.Writer, j admission.JobSummary) {
	fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", j.ID, j.Queue, j.Team, j.Priority, j.Phase, j.Accepted.Format(time.RFC3339))
}

type jobShow struct {
	ID string `arg:"" help:"ID of the job."`
}

// Run implements the command.
func (c *jobShow) Run(s *session) error {
	j, err := s.client.Job(s.ctx, c.ID)
	if err != nil {
		return err
	}
	return s.print(j, func(w io.Writer) {
		printSummary(w, j.JobSummary)
		fmt.Fprintln(w, "TASK\tRUN\tWORKER\tFAILURES\tDONE")
		for _, t := range j.Tasks {
			fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%v\n", t.Name, t.Run, strings.TrimSpace(t.Worker+" "+t.Life), t.Failures, t.Done)
		}
	})
}
