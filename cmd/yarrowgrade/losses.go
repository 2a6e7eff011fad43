package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
)

const lossesUsage = `
losses sums up, from entries' logs, the work that was lost: by cause, for which urgent jobs and whether these were
completed in time, and how often the same task was stopped. Work is in core-seconds; an accelerator counts as eight
cores.

Example:

  yarrowgrade losses entry-1.log entry-2.log
`

type lossesCommand struct {
	Files []string `arg:"" help:"Logs of the entries." type:"existingfile"`
}

// Help implements kong.HelpProvider.
func (*lossesCommand) Help() string { return lossesUsage }

// Run implements the command.
func (c *lossesCommand) Run(s *env) error {
	a := newLossCounter()
	for _, name := range c.Files {
		if err := a.readFile(name); err != nil {
			return err
		}
	}
	report := a.report()
	return s.print(report, report.rows)
}

// lossCounter sums up the records of one or more logs.
type lossCounter struct {
	starts int
	// causes holds the losses by cause.
	causes map[string]*causeTotal
	// stops counts the stops of each task, by task name.
	stops map[string]int
	// preemptedFor holds the ID of the urgent job for which a run was stopped, by task and run.
	preemptedFor map[string]string
	// urgent holds the jobs of priority 0, by ID.
	urgent map[string]*urgentJob
}

// causeTotal sums up the losses of one cause.
type causeTotal struct {
	Runs int     `json:"runs"`
	Lost float64 `json:"lost_core_s"`
}

// urgentJob is the outcome of a job of priority 0, and the work that it cost other jobs.
type urgentJob struct {
	// victims is the number of runs stopped for the job, and lost their lost work in core-seconds.
	victims   int
	lost      float64
	completed bool
	inTime    bool
}

func newLossCounter() *lossCounter {
	return &lossCounter{
		causes:       map[string]*causeTotal{},
		stops:        map[string]int{},
		preemptedFor: map[string]string{},
		urgent:       map[string]*urgentJob{},
	}
}

func (a *lossCounter) readFile(name string) error {
	file, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("losses: %w", err)
	}
	defer file.Close()
	if err := a.read(file); err != nil {
		return fmt.Errorf("losses: %s: %w", name, err)
	}
	return nil
}

// read adds the records of a log. It skips text before the time of a line, and lines without a
// time.
func (a *lossCounter) read(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		_, text, ok := strings.Cut(scanner.Text(), timeField)
		if !ok {
			continue
		}
		l, err := parseLossRecord(timeField + text)
		if err != nil {
			return err
		}
		a.add(l)
	}
	return scanner.Err()
}

func (a *lossCounter) add(l lossRecord) {
	run := fmt.Sprintf("%s/%d", l.task, l.run)
	switch l.event {
	case eventPlaced:
		a.starts++
		if l.priority == 0 {
			a.urgentByID(jobID(l.task))
		}
	case eventStop:
		a.stops[l.task]++
		if task, ok := strings.CutPrefix(l.why, yieldPrefix); ok {
			a.preemptedFor[run] = jobID(task)
			a.urgentByID(jobID(task)).victims++
		}
	case eventEnded:
		a.addEnd(l, run)
	case eventJob:
		if u := a.urgent[l.job]; u != nil && l.phase == phaseCompleted {
			u.completed, u.inTime = true, !l.at.After(l.due)
		}
	}
}

// addEnd adds the end of a run as the leader logs it. Agents also log it, but without a cause.
func (a *lossCounter) addEnd(l lossRecord, run string) {
	if l.cause == "" || l.cause == causeNone {
		return
	}
	total := a.causes[l.cause]
	if total == nil {
		total = &causeTotal{}
		a.causes[l.cause] = total
	}
	total.Runs++
	total.Lost += l.lost
	if forJob, ok := a.preemptedFor[run]; ok {
		a.urgent[forJob].lost += l.lost
	}
}

func (a *lossCounter) urgentByID(id string) *urgentJob {
	if a.urgent[id] == nil {
		a.urgent[id] = &urgentJob{}
	}
	return a.urgent[id]
}

// jobID returns the job's ID from a task's name.
func jobID(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// lossReport is the sum of all records.
type lossReport struct {
	Starts int                    `json:"starts"`
	Causes map[string]*causeTotal `json:"causes"`
	// Urgent has two totals of the jobs of priority 0: first the jobs for which no run was stopped,
	// then the others.
	Urgent []urgentTotal `json:"urgent"`
	// Stopped holds the number of tasks by how often they were stopped.
	Stopped map[int]int `json:"stopped_times"`
}

// urgentTotal sums up urgent jobs.
type urgentTotal struct {
	Stopping bool    `json:"work_stopped_for_them"`
	Jobs     int     `json:"jobs"`
	InTime   int     `json:"in_time"`
	Late     int     `json:"late"`
	Open     int     `json:"not_completed"`
	Victims  int     `json:"runs_stopped"`
	Lost     float64 `json:"lost_core_s"`
	// LostForLate is the work in core-seconds that was lost for jobs that were nevertheless late or
	// not completed.
	LostForLate float64 `json:"lost_core_s_for_late_jobs"`
}

func (a *lossCounter) report() lossReport {
	r := lossReport{
		Starts:  a.starts,
		Causes:  a.causes,
		Urgent:  []urgentTotal{{}, {Stopping: true}},
		Stopped: map[int]int{},
	}
	for _, n := range a.stops {
		r.Stopped[n]++
	}
	for _, u := range a.urgent {
		t := &r.Urgent[0]
		if u.victims > 0 {
			t = &r.Urgent[1]
		}
		t.add(u)
	}
	return r
}

func (t *urgentTotal) add(u *urgentJob) {
	t.Jobs++
	t.Victims += u.victims
	t.Lost += u.lost
	switch {
	case u.inTime:
		t.InTime++
		return
	case u.completed:
		t.Late++
	default:
		t.Open++
	}
	t.LostForLate += u.lost
}

// rows prints the report as tables.
func (r lossReport) rows(w io.Writer) {
	fmt.Fprintf(w, "STARTS\t%d\n\nCAUSE\tRUNS\tCORE-S LOST\n", r.Starts)
	mostLostFirst := func(a, b string) int { return cmp.Compare(r.Causes[b].Lost, r.Causes[a].Lost) }
	for _, name := range slices.SortedFunc(maps.Keys(r.Causes), mostLostFirst) {
		fmt.Fprintf(w, "%s\t%d\t%.0f\n", name, r.Causes[name].Runs, r.Causes[name].Lost)
	}
	fmt.Fprintln(w)
	row(w, "URGENT JOBS", "JOBS", "IN TIME", "LATE", "OPEN", "RUNS STOPPED", "CORE-S LOST", "FOR LATE ONES")
	for _, t := range r.Urgent {
		name := "found room"
		if t.Stopping {
			name = "work stopped"
		}
		lost, lostForLate := fmt.Sprintf("%.0f", t.Lost), fmt.Sprintf("%.0f", t.LostForLate)
		row(w, name, t.Jobs, t.InTime, t.Late, t.Open, t.Victims, lost, lostForLate)
	}
	fmt.Fprintln(w)
	row(w, "TOLD TO STOP", "TASKS")
	for _, n := range slices.Sorted(maps.Keys(r.Stopped)) {
		fmt.Fprintf(w, "%d times\t%d\n", n, r.Stopped[n])
	}
}
