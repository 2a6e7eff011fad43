// Command experiment feeds seeded arrivals into the decision core and prints completion times and fragmentation.
//
// There is no cluster, no network and no clock in it: a decision takes effect at once, a session ends when its work is
// done, and a victim waits again after it has had 5 s to checkpoint and stop. All variants get the same arrivals.
//
// # Usage
//
//	go run ./placement/experiment                  today's deployment, 20 seeds
//	go run ./placement/experiment -load design     the size to design for
//	go run ./placement/experiment -variant full,best
package main

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/sourcegraph/conc/iter"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/sessions/placement"
)

// variant is a profile with a name.
type variant struct {
	name    string
	profile placement.Profile
	// alone takes the teams' guarantees and the urgency out, so that nothing is ever taken back.
	alone bool
}

// variants are the baselines, the two profiles, and the completion profile with one ingredient off at a time.
func variants() []variant {
	full := placement.CompletionProfile()
	without := func(change func(p *placement.Profile)) placement.Profile {
		p := full
		change(&p)
		return p
	}
	return []variant{
		{"first fit alone", placement.Profile{Scoring: placement.ScoreFirst}, true},
		{"best fit alone", placement.Profile{Scoring: placement.ScoreBest}, true},
		{"best fit", placement.Profile{Scoring: placement.ScoreBest}, false},
		{"completion", full, false},
		{"fragmentation", placement.FragmentationProfile(), false},
		{"- reservations", without(func(p *placement.Profile) { p.Reservations = 0 }), false},
		{"- backfill", without(func(p *placement.Profile) { p.NoBackfill = true }), false},
		{"- short first", without(func(p *placement.Profile) { p.ShortFirst = p.LargeShortFirst }), false},
		{"- large first", without(func(p *placement.Profile) { p.LargeShortFirst = p.ShortFirst }), false},
	}
}

func main() {
	seeds := flag.Int("seeds", 20, "number of seeds, from 1 on")
	load := flag.String("load", "today", "workload: today or design")
	only := flag.String("variant", "", "names of variants, separated by commas; all if empty")
	trial := flag.String("profile", "", "a profile as JSON, to try instead of the variants")
	scale := flag.Float64("scale", 1, "factor on the number of arrivals")
	group := flag.String("by", "", "print mean completion and p95 wait by size or by team instead of the summary")
	flag.Parse()
	list, err := chosen(*trial)
	if err != nil {
		fmt.Fprintf(os.Stderr, "experiment: -profile: %v\n", err)
		os.Exit(2)
	}
	make, found := map[string]func(uint64, float64) workload{"today": today, "design": design}[*load]
	if !found {
		fmt.Fprintf(os.Stderr, "experiment: -load: want today or design, got %q\n", *load)
		os.Exit(2)
	}
	fmt.Printf("workload %s, seeds 1 to %d, demand %.0f%% of the accelerators with seed 1; mean ± standard deviation over seeds\n", *load, *seeds, 100*make(1, *scale).demand())
	if *group != "" {
		for _, v := range list {
			if wanted(*only, v.name) {
				printGroups(v, *group, iter.Map(seedList(*seeds), func(seed *uint64) *run { return simulate(v.load(make(*seed, *scale)), v.profile) }))
			}
		}
		return
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "variant\tmean h\tp50 h\tp95 h\tp99 h\tlarge mean h\tlarge wait p95 h\tsmall wait p95 h\turgent wait p99 s\tstranded %\tlargest\trestarts\tworkers/16-gang\tms/decision\t")
	for _, v := range list {
		if !wanted(*only, v.name) {
			continue
		}
		rows := iter.Map(seedList(*seeds), func(seed *uint64) row { return rowOf(simulate(v.load(make(*seed, *scale)), v.profile)) })
		fmt.Fprintf(table, "%s\t%s\t\n", v.name, strings.Join(summary(rows), "\t"))
	}
	table.Flush()
}

// wanted reports whether the command line asks for a variant.
func wanted(only, name string) bool {
	return only == "" || strings.Contains(","+only+",", ","+name+",")
}

// printGroups prints a line for each size of gang or each team, over all seeds together.
func printGroups(v variant, group string, runs []*run) {
	completions, waits := map[string][]float64{}, map[string][]float64{}
	for _, r := range runs {
		for _, f := range r.done {
			key := f.team
			if group == "size" {
				key = fmt.Sprintf("%2d accelerators", f.size)
			}
			completions[key] = append(completions[key], f.completion.Hours())
			waits[key] = append(waits[key], f.wait.Hours())
		}
	}
	keys := slices.Sorted(maps.Keys(completions))
	for _, key := range keys {
		fmt.Printf("%-16s %-16s mean completion %5.2f h, p95 wait %5.2f h, %d sessions\n",
			v.name, key, mean(completions[key]), quantile(waits[key], 0.95), len(completions[key]))
	}
}

// chosen returns the profile given on the command line, or all variants.
func chosen(trial string) ([]variant, error) {
	if trial == "" {
		return variants(), nil
	}
	p := placement.CompletionProfile()
	if err := fault.Decode([]byte(trial), &p); err != nil {
		return nil, err
	}
	return []variant{{name: "trial", profile: p}}, nil
}

// load returns the workload as the variant sees it.
func (v variant) load(w workload) workload {
	if !v.alone {
		return w
	}
	w.teams = nil
	for i := range w.arrivals {
		w.arrivals[i].w.Urgent = false
	}
	return w
}

func seedList(n int) []uint64 {
	list := make([]uint64, n)
	for i := range list {
		list[i] = uint64(i + 1)
	}
	return list
}

// row is what one run is judged by.
type row []float64

// largeFrom is the size from which a gang counts as large.
const largeFrom = 8

func rowOf(r *run) row {
	var all, large, largeWait, smallWait, urgentWait []float64
	restarts := 0
	for _, f := range r.done {
		restarts += f.restarts
		all = append(all, f.completion.Hours())
		switch {
		case f.urgent:
			urgentWait = append(urgentWait, f.wait.Seconds())
		case f.size >= largeFrom:
			large = append(large, f.completion.Hours())
			largeWait = append(largeWait, f.wait.Hours())
		default:
			smallWait = append(smallWait, f.wait.Hours())
		}
	}
	return row{
		mean(all), quantile(all, 0.5), quantile(all, 0.95), quantile(all, 0.99), mean(large), quantile(largeWait, 0.95),
		quantile(smallWait, 0.95), quantile(urgentWait, 0.99), 100 * r.frag.stranded / max(r.frag.contended, 1),
		r.frag.largest / r.frag.total, float64(restarts), r.spread / max(r.spreads, 1), float64(r.spent) / float64(time.Millisecond) / float64(max(r.decided, 1)),
	}
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(max(len(list), 1))
}

func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := append([]float64(nil), list...)
	sort.Float64s(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// summary returns the mean over the seeds with the standard deviation for each column.
func summary(rows []row) []string {
	var list []string
	for c := range rows[0] {
		var column []float64
		for _, r := range rows {
			column = append(column, r[c])
		}
		m := mean(column)
		sum := 0.0
		for _, v := range column {
			sum += (v - m) * (v - m)
		}
		list = append(list, fmt.Sprintf("%.2f ±%.2f", m, math.Sqrt(sum/float64(len(column)))))
	}
	return list
}
