package placement

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// grid returns workers named w000, w001, ... with three in each rack and six in each zone.
func grid(workers, accelerators int) []Worker {
	var list []Worker
	for i := range workers {
		list = append(list, Worker{
			Name: fmt.Sprintf("w%03d", i), Rack: fmt.Sprintf("r%03d", i/3), Zone: fmt.Sprintf("z%03d", i/6),
			Holders: make([]int64, accelerators),
		})
	}
	return list
}

// occupy puts a placement on the first n accelerators of a worker.
func occupy(in *Input, worker, n int, p Running) {
	for i := range n {
		in.Workers[worker].Holders[i] = p.Token
	}
	p.Shape = Shape{Accelerators: n, Adjacency: SameWorker}
	in.Running = append(in.Running, p)
}

func TestDecide(t *testing.T) {
	whole := Shape{Accelerators: 8, Adjacency: SameWorker}
	one := Shape{Accelerators: 1, Adjacency: SameRegion}
	tests := []struct {
		name string
		in   func() Input
		want string
	}{
		{"a small job goes where it spoils least", func() Input {
			in := Input{Workers: grid(3, 8), Waiting: []Waiting{{Session: "s", Shape: one}}}
			occupy(&in, 1, 5, Running{Token: 1, Borrowed: true})
			return in
		}, "s on w001"},
		{"a gang gets one rack, and whole workers first", func() Input {
			in := Input{
				Workers: grid(6, 8),
				Waiting: []Waiting{{Session: "s", Shape: Shape{Accelerators: 16, Adjacency: SameRack}}},
			}
			occupy(&in, 0, 4, Running{Token: 1, Borrowed: true})
			occupy(&in, 3, 8, Running{Token: 2, Borrowed: true})
			occupy(&in, 4, 1, Running{Token: 3, Borrowed: true})
			return in
		}, "s on w001 w002"},
		{"an owner takes borrowed room back, at the least lost work", func() Input {
			in := Input{
				Workers:      grid(2, 8),
				Waiting:      []Waiting{{Session: "s", Team: "a", Shape: whole}},
				Entitlements: []Entitlement{{Team: "a", Shape: whole, Count: 1}},
			}
			occupy(&in, 0, 8, Running{Token: 1, Borrowed: true, Unsaved: time.Hour})
			occupy(&in, 1, 8, Running{Token: 2, Borrowed: true, Unsaved: time.Minute})
			return in
		}, "s takes 2"},
		{"the policy's order goes before lost work", func() Input {
			in := Input{
				Workers:      grid(2, 8),
				Waiting:      []Waiting{{Session: "s", Team: "a", Shape: whole}},
				Entitlements: []Entitlement{{Team: "a", Shape: whole, Count: 1}},
			}
			occupy(&in, 0, 8, Running{Token: 1, Borrowed: true, Unsaved: time.Hour})
			occupy(&in, 1, 8, Running{Token: 2, Borrowed: true, Unsaved: time.Minute, YieldRank: 50})
			return in
		}, "s takes 1"},
		{"what is held under a guarantee is never taken", func() Input {
			in := Input{Workers: grid(1, 8), Waiting: []Waiting{{Session: "s", Team: "a", Shape: whole, Urgent: true}}}
			occupy(&in, 0, 8, Running{Token: 1})
			return in
		}, ""},
		{"urgent work does not take from urgent work", func() Input {
			in := Input{Workers: grid(1, 8), Waiting: []Waiting{{Session: "s", Team: "a", Shape: whole, Urgent: true}}}
			occupy(&in, 0, 8, Running{Token: 1, Borrowed: true, Urgent: true})
			return in
		}, ""},
		{"a gang does not span regions, which lose each other", func() Input {
			in := Input{Workers: grid(2, 8), Waiting: []Waiting{
				{
					Session: "s",
					Shape:   Shape{Accelerators: 9, Adjacency: SameRegion},
				}, {Session: "t", Shape: Shape{Accelerators: 8, Adjacency: SameRegion}},
			}}
			in.Workers[0].Region, in.Workers[1].Region = "north", "south"
			return in
		}, "t on w000"},
		{"a team without a guarantee waits", func() Input {
			in := Input{Workers: grid(1, 8), Waiting: []Waiting{{Session: "s", Team: "a", Shape: whole}}}
			occupy(&in, 0, 8, Running{Token: 1, Borrowed: true})
			return in
		}, ""},
		{"a start under a guarantee leaves room for the other guarantees", func() Input {
			// Both guarantees fit only if the small session goes to the worker that is half
			// occupied by a placement that cannot be reclaimed.
			in := Input{
				Workers: grid(2, 8), Waiting: []Waiting{{
					Session: "s",
					Team:    "b",
					Shape:   Shape{Accelerators: 4, Adjacency: SameWorker},
				}},
				Entitlements: []Entitlement{
					{Team: "a", Shape: whole, Count: 1},
					{Team: "b", Shape: Shape{Accelerators: 4, Adjacency: SameWorker}, Count: 1},
				},
			}
			occupy(&in, 0, 4, Running{Token: 1})
			return in
		}, "s on w000"},
		{"freed room is kept for the session that it was freed for", func() Input {
			in := Input{Workers: grid(1, 8), Waiting: []Waiting{
				{Session: "urgent", Shape: whole, Urgent: true}, {Session: "victim", Shape: one},
			}}
			occupy(&in, 0, 3, Running{Token: 1, Borrowed: true, Stopping: true, ReclaimedFor: "urgent"})
			return in
		}, ""},
		{"small work does not fill what a large gang waits for", func() Input {
			in := Input{Workers: grid(1, 8), Waiting: []Waiting{
				{Session: "large", Shape: whole, Waited: time.Hour}, {Session: "small", Shape: one, Estimate: 2 * time.Hour},
			}}
			occupy(&in, 0, 7, Running{Token: 1, Borrowed: true, Remaining: time.Hour})
			return in
		}, ""},
		{"small work that ends in time fills it", func() Input {
			in := Input{Workers: grid(1, 8), Waiting: []Waiting{
				{Session: "large", Shape: whole, Waited: time.Hour}, {Session: "small", Shape: one, Estimate: time.Minute},
			}}
			occupy(&in, 0, 7, Running{Token: 1, Borrowed: true, Remaining: time.Hour})
			return in
		}, "small on w000"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := formatDecisions(Decide(tt.in(), CompletionProfile())); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

func formatDecisions(decisions []Decision) string {
	var parts []string
	for _, d := range decisions {
		if len(d.Victims) > 0 {
			parts = append(parts, strings.Trim(fmt.Sprintf("%s takes %v", d.Session, d.Victims), "]"))
			continue
		}
		names := d.Session + " on"
		for _, m := range d.Members {
			names += " " + m.Worker
		}
		parts = append(parts, names)
	}
	return strings.ReplaceAll(strings.Join(parts, "; "), "[", "")
}

// sizes has few values so that guarantees and sessions often match.
var sizes = []int{1, 2, 4, 8, 12}

// drawInput generates a system with placements, guarantees and waiting sessions.
func drawInput(t *rapid.T) Input {
	in := Input{Workers: grid(rapid.IntRange(1, 12).Draw(t, "workers"), rapid.IntRange(1, 8).Draw(t, "size"))}
	adjacency := rapid.SampledFrom([]Adjacency{SameRegion, SameZone, SameRack, SameWorker})
	for i := range rapid.IntRange(0, 8).Draw(t, "placements") {
		p := Running{
			Token:     int64(i + 1),
			Session:   fmt.Sprintf("r%d", i),
			Team:      fmt.Sprintf("t%d", i%3),
			Borrowed:  rapid.Bool().Draw(t, "borrowed"),
			Urgent:    rapid.Bool().Draw(t, "urgent"),
			Remaining: time.Duration(rapid.IntRange(0, 9).Draw(t, "left")) * time.Minute,
		}
		w := rapid.IntRange(0, len(in.Workers)-1).Draw(t, "on")
		for a, h := range in.Workers[w].Holders {
			if h == 0 && rapid.Bool().Draw(t, "take") {
				in.Workers[w].Holders[a] = p.Token
				p.Shape.Accelerators++
			}
		}
		p.Shape.Adjacency = SameWorker
		p.Stopping = p.Borrowed && rapid.IntRange(0, 4).Draw(t, "stopping") == 0
		if p.Shape.Accelerators > 0 {
			in.Running = append(in.Running, p)
		}
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "guarantees") {
		in.Entitlements = append(in.Entitlements, Entitlement{
			Team: fmt.Sprintf("t%d", i), Shape: Shape{
				Accelerators: rapid.SampledFrom(sizes).Draw(t, "n"),
				Adjacency:    adjacency.Draw(t, "adj"),
			}, Count: rapid.IntRange(1, 2).Draw(t, "count"),
		})
	}
	for i := range rapid.IntRange(0, 8).Draw(t, "waiting") {
		in.Waiting = append(in.Waiting, Waiting{
			Session: fmt.Sprintf("s%d", i), Team: fmt.Sprintf("t%d", i%3), Urgent: rapid.IntRange(0, 3).Draw(t, "hurry") == 0,
			Shape:    Shape{Accelerators: rapid.SampledFrom(sizes).Draw(t, "n"), Adjacency: adjacency.Draw(t, "adj")},
			Estimate: time.Duration(rapid.IntRange(0, 9).Draw(t, "estimate")) * time.Minute,
		})
	}
	return in
}

// TestDecisionsAreSound checks every decision for random inputs. The checks use only the input, not
// the decider's internal state.
func TestDecisionsAreSound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		in := drawInput(rt)
		before := fmt.Sprintf("%+v", in)
		profile := rapid.SampledFrom([]Profile{
			CompletionProfile(),
			FragmentationProfile(),
			{Scoring: ScoreFirst},
			{Scoring: ScoreBest},
		}).Draw(rt, "profile")
		decisions := Decide(in, profile)
		if fmt.Sprintf("%+v", in) != before {
			rt.Fatal("Decide modified its input")
		}
		if !reflect.DeepEqual(decisions, Decide(in, profile)) {
			rt.Fatal("the same input gave different decisions")
		}
		if plain := decideWithoutCache(in, profile); !reflect.DeepEqual(decisions, plain) {
			rt.Fatalf("caching failed searches changed the decisions: got %+v, want %+v", decisions, plain)
		}
		checkDecisions(rt, in, decisions)
	})
}

// decideWithoutCache is Decide without the cache of failed searches.
func decideWithoutCache(in Input, profile Profile) []Decision {
	d := newDecider(in, profile)
	for _, w := range d.order() {
		clear(d.failedSearches)
		d.place(w)
	}
	return d.decisions
}

func checkDecisions(rt *rapid.T, in Input, decisions []Decision) {
	waiting, running, place := map[string]Waiting{}, map[int64]Running{}, map[string]Worker{}
	for _, w := range in.Waiting {
		waiting[w.Session] = w
	}
	for _, p := range in.Running {
		running[p.Token] = p
	}
	for _, w := range in.Workers {
		place[w.Name] = w
	}
	used := map[string]bool{}
	entitlements := append([]Entitlement(nil), in.Entitlements...)
	feasible := Feasible(
		NewCapacity(NewTopology(in.Workers), in.Workers, func(h int64) bool { return h == 0 || running[h].Borrowed }),
		entitlements,
	)
	taken := cloneHolders(in.Workers)
	for _, d := range decisions {
		w := waiting[d.Session]
		for _, token := range d.Victims {
			p := running[token]
			if !p.Borrowed || p.Stopping || (p.Urgent && UnusedEntitlement(entitlements, w.Team, w.Shape) < 0) {
				rt.Fatalf("%s reclaims %+v, which is not allowed", d.Session, p)
			}
		}
		if len(d.Members) == 0 {
			continue
		}
		count, zones, racks := 0, map[string]bool{}, map[string]bool{}
		for _, m := range d.Members {
			zones[place[m.Worker].Zone], racks[place[m.Worker].Rack] = true, true
			for _, a := range m.Accelerators {
				key := fmt.Sprintf("%s/%d", m.Worker, a)
				if used[key] || place[m.Worker].Holders[a] != 0 {
					rt.Fatalf("%s is assigned %s, which is not free", d.Session, key)
				}
				used[key] = true
				count++
				if !d.Borrowed {
					taken[workerIndex(in, m.Worker)].Holders[a] = -1
				}
			}
		}
		a := w.Shape.Adjacency
		if count != w.Shape.Accelerators || (a == SameZone && len(zones) > 1) || (a == SameRack && len(racks) > 1) ||
			(a == SameWorker && len(d.Members) > 1) {
			rt.Fatalf("%s requested %v and is assigned %v", d.Session, w.Shape, d.Members)
		}
		if !d.Borrowed {
			i := UnusedEntitlement(entitlements, w.Team, w.Shape)
			if i < 0 {
				rt.Fatalf("%s starts under a guarantee that it does not have", d.Session)
			}
			entitlements[i].Used++
		}
	}
	usable := func(h int64) bool { return h == 0 || (h > 0 && running[h].Borrowed) }
	if feasible && !Feasible(NewCapacity(NewTopology(taken), taken, usable), entitlements) {
		rt.Fatalf("guarantees were feasible, but are not after %+v", decisions)
	}
}

func workerIndex(in Input, name string) int {
	for i, w := range in.Workers {
		if w.Name == name {
			return i
		}
	}
	return -1
}
