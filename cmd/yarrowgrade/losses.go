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
	a := newLossAccount()
	for _, name := range c.Files {
		if err := a.readFile(name); err != nil {
			return err
		}
	}
	report := a.report()
	return s.print(report, report.rows)
}

// lossAccount sums up the lines of one or more logs.
type lossAccount struct {
	starts int
	// causes holds the losses by cause.
	causes map[string]*causeTotal
	// stops counts the stops of a task, by its name.
	stops map[string]int
	// preemptedFor holds, by task and run, the ID of the urgent job for which a run was stopped.
	preemptedFor map[string]string
	// urgent holds the jobs of priority 0, by ID.
	urgent map[string]*urgentJob
}

// causeTotal sums up the losses of one cause.
type causeTotal struct {
	Runs int     `json:"runs"`
	Lost float64 `json:"lost_core_s"`
}

// urgentJob is the outcome of a job of priority 0, and what it cost others.
type urgentJob struct {
	// victims is the number of runs stopped for it; lost is their lost work in core-seconds.
	victims   int
	lost      float64
	completed bool
	inTime    bool
}

func newLossAccount() *lossAccount {
	return &lossAccount{
		causes:       map[string]*causeTotal{},
		stops:        map[string]int{},
		preemptedFor: map[string]string{},
		urgent:       map[string]*urgentJob{},
	}
}

func (a *lossAccount) readFile(name string) error {
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

// read adds the lines of a log. Text before the time of a line is skipped, and so are lines without
// a time.
func (a *lossAccount) read(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		_, text, ok := strings.Cut(scanner.Text(), timeField)
		if !ok {
			continue
		}
		l, err := parseLossLine(timeField + text)
		if err != nil {
			return err
		}
		a.add(l)
	}
	return scanner.Err()
}

func (a *lossAccount) add(l lossLine) {
	run := fmt.Sprintf("%s/%d", l.task, l.run)
	switch l.event {
	case eventPlaced:
		a.starts++
		if l.priority == 0 {
			a.urgentOf(jobOf(l.task))
		}
	case eventStop:
		a.stops[l.task]++
		if task, ok := strings.CutPrefix(l.why, yieldsTo); ok {
			a.preemptedFor[run] = jobOf(task)
			a.urgentOf(jobOf(task)).victims++
		}
	case eventEnded:
		a.addEnd(l, run)
	case eventJob:
		if u := a.urgent[l.job]; u != nil && l.phase == phaseDone {
			u.completed, u.inTime = true, !l.at.After(l.due)
		}
	}
}

// addEnd adds the end of a run as the leader logs it. Agents log it too, without a cause.
func (a *lossAccount) addEnd(l lossLine, run string) {
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

func (a *lossAccount) urgentOf(id string) *urgentJob {
	if a.urgent[id] == nil {
		a.urgent[id] = &urgentJob{}
	}
	return a.urgent[id]
}

// jobOf returns the job's ID from a task's name.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// lossReport is the result of an account.
type lossReport struct {
	Starts int                    `json:"starts"`
	Causes map[string]*causeTotal `json:"causes"`
	// Urgent has two totals of the jobs of priority 0: those for which no run was stopped, and the
	// others.
	Urgent []urgentTotal `json:"urgent"`
	// Stopped counts tasks by how often they were stopped.
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
	// LostInVain is the work lost for jobs that were late or not completed all the same, in
	// core-seconds.
	LostInVain float64 `json:"lost_core_s_for_late_jobs"`
}

func (a *lossAccount) report() lossReport {
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
	t.LostInVain += u.lost
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
		lost, inVain := fmt.Sprintf("%.0f", t.Lost), fmt.Sprintf("%.0f", t.LostInVain)
		row(w, name, t.Jobs, t.InTime, t.Late, t.Open, t.Victims, lost, inVain)
	}
	fmt.Fprintln(w)
	row(w, "TOLD TO STOP", "TASKS")
	for _, n := range slices.Sorted(maps.Keys(r.Stopped)) {
		fmt.Fprintf(w, "%d times\t%d\n", n, r.Stopped[n])
	}
}
