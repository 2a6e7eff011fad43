package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

const lossesUsage = `
losses adds up, from entries' logs, the work that was thrown away, why, and for whom: what ended without being saved, by cause; for
each stop whether the urgent job that it was for was completed in time; and how often the same task was stopped again. Work is
in core-seconds, an accelerator counting as eight cores.

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

// lossLine is what the account takes from a line of a log.
type lossLine struct {
	at                                time.Time
	event, task, job, how, cause, why string
	phase                             string
	run                               int
	lost                              float64
	priority                          int
	due                               time.Time
}

// lossAccount gathers the lines of one or more logs.
type lossAccount struct {
	causes map[string]*causeTotal
	// stops counts the stops of a task; stoppedFor is the urgent job for which a run was told to stop.
	stops      map[string]int
	stoppedFor map[string]string
	// urgent holds the jobs of priority 0.
	urgent map[string]*urgentJob
	starts int
}

// causeTotal is what was thrown away for one cause.
type causeTotal struct {
	Runs int     `json:"runs"`
	Lost float64 `json:"lost_core_s"`
}

// urgentJob is what became of a job of priority 0.
type urgentJob struct {
	victims   int
	lost      float64
	completed bool
	inTime    bool
}

func newLossAccount() *lossAccount {
	return &lossAccount{causes: map[string]*causeTotal{}, stops: map[string]int{}, stoppedFor: map[string]string{}, urgent: map[string]*urgentJob{}}
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

// read adds the lines of a log. Whatever stands before the time, and lines without one, are passed over.
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

// timeField begins a line of a log.
const timeField = "time="

func parseLossLine(text string) (l lossLine, err error) {
	d := logfmt.NewDecoder(strings.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			if err := l.set(string(d.Key()), string(d.Value())); err != nil {
				return l, fmt.Errorf("%q: %w", text, err)
			}
		}
	}
	if d.Err() != nil {
		return l, fmt.Errorf("%q: %w", text, d.Err())
	}
	return l, nil
}

// set takes one field over; fields of other lines are passed over.
func (l *lossLine) set(key, value string) (err error) {
	switch key {
	case "time":
		l.at, err = time.Parse(time.RFC3339Nano, value)
	case "event":
		l.event = value
	case "task":
		l.task = value
	case "job":
		l.job = value
	case "how":
		l.how = value
	case "cause":
		l.cause = value
	case "why":
		l.why = value
	case "phase":
		l.phase = value
	case "due":
		l.due, err = time.Parse(time.RFC3339Nano, value)
	case "run":
		l.run, err = strconv.Atoi(value)
	case "priority":
		l.priority, err = strconv.Atoi(value)
	case "lost_core_s":
		l.lost, err = strconv.ParseFloat(value, 64)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	return nil
}

// Events and words of the leader's log.
const (
	eventPlaced = "run is placed"
	eventStop   = "run is to stop"
	eventEnded  = "run ended"
	eventJob    = "job ended"
	yieldsTo    = "it yields to "
	phaseDone   = "completed"
)

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
			a.stoppedFor[run] = jobOf(task)
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

// addEnd counts the end of a run, as the leader notes it. Agents' lines of it name no cause.
func (a *lossAccount) addEnd(l lossLine, run string) {
	if l.cause == "" || l.cause == "none" {
		return
	}
	total := a.causes[l.cause]
	if total == nil {
		total = &causeTotal{}
		a.causes[l.cause] = total
	}
	total.Runs++
	total.Lost += l.lost
	if forJob, ok := a.stoppedFor[run]; ok {
		a.urgent[forJob].lost += l.lost
	}
}

func (a *lossAccount) urgentOf(id string) *urgentJob {
	if a.urgent[id] == nil {
		a.urgent[id] = &urgentJob{}
	}
	return a.urgent[id]
}

// jobOf is the job of a task's name.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// lossReport is the account of all lines.
type lossReport struct {
	Starts int                    `json:"starts"`
	Causes map[string]*causeTotal `json:"causes"`
	// Urgent counts jobs of priority 0, by whether work stopped for them and by what became of them.
	Urgent []urgentTotal `json:"urgent"`
	// Stopped counts tasks by how often they were told to stop.
	Stopped map[int]int `json:"stopped_times"`
}

// urgentTotal is what became of the urgent jobs for which work stopped, or of the others.
type urgentTotal struct {
	Stopping bool    `json:"work_stopped_for_them"`
	Jobs     int     `json:"jobs"`
	InTime   int     `json:"in_time"`
	Late     int     `json:"late"`
	Open     int     `json:"not_completed"`
	Victims  int     `json:"runs_stopped"`
	Lost     float64 `json:"lost_core_s"`
	// LostInVain is what was lost for jobs that were late all the same, or not completed.
	LostInVain float64 `json:"lost_core_s_for_late_jobs"`
}

func (a *lossAccount) report() lossReport {
	r := lossReport{Starts: a.starts, Causes: a.causes, Stopped: map[int]int{}, Urgent: []urgentTotal{{}, {Stopping: true}}}
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
	names := slices.SortedFunc(maps.Keys(r.Causes), func(a, b string) int { return cmp.Compare(r.Causes[b].Lost, r.Causes[a].Lost) })
	for _, name := range names {
		fmt.Fprintf(w, "%s\t%d\t%.0f\n", name, r.Causes[name].Runs, r.Causes[name].Lost)
	}
	fmt.Fprintf(w, "\nURGENT JOBS\tJOBS\tIN TIME\tLATE\tOPEN\tRUNS STOPPED\tCORE-S LOST\tFOR LATE ONES\n")
	for _, t := range r.Urgent {
		name := "found room"
		if t.Stopping {
			name = "work stopped"
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\n", name, t.Jobs, t.InTime, t.Late, t.Open, t.Victims, t.Lost, t.LostInVain)
	}
	fmt.Fprintf(w, "\nTOLD TO STOP\tTASKS\n")
	for _, n := range slices.Sorted(maps.Keys(r.Stopped)) {
		fmt.Fprintf(w, "%d times\t%d\n", n, r.Stopped[n])
	}
}
