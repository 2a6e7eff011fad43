package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/admission"
	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/leader"
)

const jobUsage = `
job shows jobs on the users' platform. Any job entry answers, at the first port of its range; give its address with --entry. The list of
workers comes from the entry that leads; the others say where it is.

Examples:

  yarrowgrade --entry http://10.1.0.19:7000 job list
  yarrowgrade --entry http://10.1.0.19:7000 job show 7b1f7d2030478d63
  yarrowgrade --entry http://10.1.0.19:7000 job status
  yarrowgrade --entry http://10.1.0.19:7000 job workers
`

type jobCommands struct {
	List jobList `cmd:"" help:"List the jobs that are stored."`
	Show jobShow `cmd:"" help:"Show a job with its tasks: run, worker, failures, done or not; and the zones in which nothing starts."`

	Status  jobStatus  `cmd:"" help:"Show the configuration in force, the leader, and the cordoned zones."`
	Workers jobWorkers `cmd:"" help:"List the workers, one line each, with the cordons of their zones."`
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
		fmt.Fprintln(w, "TASK\tRUN\tWORKER\tFAILURES\tCRASHES\tDONE")
		for _, t := range j.Tasks {
			fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%s\t%v\n", t.Name, t.Run, strings.TrimSpace(t.Worker+" "+t.Incarnation.String()), t.Failures, crashText(&t.Task), t.Done)
		}
		printCordons(w, j.Cordons)
	})
}

// crashText says how many workers crashed under a task, and for how many of them nothing else could be blamed.
func crashText(t *job.Task) string {
	if t.Crashes+t.UncertainCrashes == 0 {
		return "-"
	}
	return fmt.Sprintf("%d sure, %d doubtful, %d alone", t.Crashes, t.UncertainCrashes, t.SoleCrashes)
}

// printCordons prints a line for each cordoned zone.
func printCordons(w io.Writer, cordons []catalog.Cordon) {
	for _, c := range cordons {
		fmt.Fprintf(w, "CORDONED\tzone %s, %s: nothing starts there\n", c.Zone, cordonText(&c))
	}
}

// cordonText says since when a zone is cordoned, and by which record; "-" for an open one.
func cordonText(c *catalog.Cordon) string {
	if c == nil {
		return "-"
	}
	return fmt.Sprintf("since %s (revision %d)", c.Since.Format(time.RFC3339), c.Revision)
}

type jobStatus struct{}

// Run implements the command.
func (*jobStatus) Run(s *session) error {
	v, err := s.client.JobsStatus(s.ctx)
	if err != nil {
		return err
	}
	return s.print(v, func(w io.Writer) {
		fmt.Fprintln(w, "CONFIG\tPROOF\tLEADER")
		fmt.Fprintf(w, "%d\t%s\t%s\n", v.Version, proofText(v.ProofMillis), v.Leader)
		printCordons(w, v.Cordons)
	})
}

// proofText says how old the proof is that nothing newer is in force.
func proofText(millis int64) string {
	if millis < 0 {
		return "none"
	}
	return (time.Duration(millis) * time.Millisecond).String() + " old"
}

type jobWorkers struct{}

// Run implements the command.
func (*jobWorkers) Run(s *session) error {
	list, err := s.client.JobWorkers(s.ctx)
	if err != nil {
		return err
	}
	return s.print(list, func(w io.Writer) {
		fmt.Fprintln(w, "WORKER\tINSTANCE\tSTARTED\tZONE\tRACK\tSERVICE\tSTATE\tCORES\tMEMORY_MB\tACCELERATORS\tRUNS\tCORDONED")
		for _, v := range list {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.1f\t%d\t%d\t%d\t%s\n", v.Worker, v.Life.Instance, startedText(v.Life), v.Zone, v.Rack, v.Service,
				workerStateText(v), float64(v.Capacity.CPU)/1000, v.Capacity.Memory, v.Capacity.Accelerators, v.Runs, cordonText(v.Cordon))
			for _, former := range v.Former {
				fmt.Fprintf(w, "%s\t%s\t%s\t\t\t\tover\t\t\t\t\t\n", v.Worker, former.Instance, startedText(former))
			}
		}
	})
}

// startedText says when a life of a worker began, "-" if the worker does not say it.
func startedText(id incarnation.ID) string {
	if id.StartedAt().IsZero() {
		return "-"
	}
	return id.StartedAt().UTC().Format("2006-01-02T15:04:05.000Z")
}

func workerStateText(v leader.WorkerStatus) string {
	switch {
	case v.Silent:
		return "silent"
	case v.Draining:
		return "leaving"
	}
	return "live"
}
