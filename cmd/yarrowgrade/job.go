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
job shows jobs on the users' platform. Any job-entry answers at the first port of its range; name it with --entry. Only
the leader has the list of workers; the others answer with its address.

Examples:

  yarrowgrade --entry http://10.1.0.19:7000 job list
  yarrowgrade --entry http://10.1.0.19:7000 job show 7b1f7d2030478d63
  yarrowgrade --entry http://10.1.0.19:7000 job status
  yarrowgrade --entry http://10.1.0.19:7000 job workers
`

type jobCommands struct {
	List jobList `cmd:"" help:"List the jobs that are stored."`
	Show jobShow `cmd:"" help:"Show a job with its tasks, and the cordoned availability zones."`

	Status  jobStatus  `cmd:"" help:"Show the configuration in force, the leader, and the cordoned availability zones."`
	Workers jobWorkers `cmd:"" help:"List the workers, one line each, with the cordons of their availability zones."`
}

// Help implements kong.HelpProvider.
func (*jobCommands) Help() string { return jobUsage }

type jobList struct{}

// Run implements the command.
func (*jobList) Run(s *env) error {
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
	row(w, j.ID, j.Queue, j.Team, j.Priority, j.Phase, j.Accepted.Format(time.RFC3339))
}

type jobShow struct {
	ID string `arg:"" help:"ID of the job."`
}

// Run implements the command.
func (c *jobShow) Run(s *env) error {
	j, err := s.client.Job(s.ctx, c.ID)
	if err != nil {
		return err
	}
	return s.print(j, func(w io.Writer) {
		printSummary(w, j.JobSummary)
		fmt.Fprintln(w, "TASK\tRUN\tWORKER\tFAILURES\tCRASHES\tDONE")
		for _, t := range j.Tasks {
			worker := strings.TrimSpace(t.Worker + " " + t.Incarnation.String())
			row(w, t.Name, t.Run, worker, t.Failures, crashText(&t.Task), t.Done)
		}
		printCordons(w, j.Cordons)
	})
}

// crashText returns how many workers crashed while they ran a task: those that the task certainly
// crashed, those that it may have crashed, and those on which no other task ran.
func crashText(t *job.Task) string {
	if t.Crashes+t.UncertainCrashes == 0 {
		return "-"
	}
	return fmt.Sprintf("%d sure, %d doubtful, %d alone", t.Crashes, t.UncertainCrashes, t.SoleCrashes)
}

// printCordons prints a line for each cordoned availability zone.
func printCordons(w io.Writer, cordons []catalog.Cordon) {
	for _, c := range cordons {
		fmt.Fprintf(w, "CORDONED\tzone %s, %s: nothing starts there\n", c.Zone, cordonText(&c))
	}
}

// cordonText returns when an availability zone was cordoned and the revision of the record that did
// it, or "-" if the zone is not cordoned.
func cordonText(c *catalog.Cordon) string {
	if c == nil {
		return "-"
	}
	return fmt.Sprintf("since %s (revision %d)", c.Since.Format(time.RFC3339), c.Revision)
}

type jobStatus struct{}

// Run implements the command.
func (*jobStatus) Run(s *env) error {
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

// proofText returns the age of the last read that confirmed that no newer configuration is in
// force.
func proofText(millis int64) string {
	if millis < 0 {
		return "none"
	}
	return (time.Duration(millis) * time.Millisecond).String() + " old"
}

type jobWorkers struct{}

// Run implements the command.
func (*jobWorkers) Run(s *env) error {
	list, err := s.client.JobWorkers(s.ctx)
	if err != nil {
		return err
	}
	return s.print(list, func(w io.Writer) {
		row(w, "WORKER", "INSTANCE", "STARTED", "ZONE", "RACK", "SERVICE", "STATE",
			"CORES", "MEMORY_MB", "ACCELERATORS", "RUNS", "CORDONED")
		for _, v := range list {
			cores := fmt.Sprintf("%.1f", float64(v.Capacity.CPU)/1000)
			row(w, v.Worker, v.Incarnation.Instance, startedText(v.Incarnation), v.Zone, v.Rack, v.Service, workerStateText(v),
				cores, v.Capacity.Memory, v.Capacity.Accelerators, v.Runs, cordonText(v.Cordon))
			for _, former := range v.Former {
				fmt.Fprintf(w, "%s\t%s\t%s\t\t\t\tover\t\t\t\t\t\n", v.Worker, former.Instance, startedText(former))
			}
		}
	})
}

// startedText returns when an incarnation of a worker started, or "-" if the worker does not report
// it.
func startedText(id incarnation.ID) string {
	if id.StartedAt().IsZero() {
		return "-"
	}
	return id.StartedAt().UTC().Format("2006-01-02T15:04:05.000Z")
}

func workerStateText(v leader.WorkerStatus) string {
	switch {
	case v.Unresponsive:
		return "silent"
	case v.Draining:
		return "leaving"
	}
	return "live"
}
