package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/placement"
)

// arrival is a session of the workload.
type arrival struct {
	at   time.Duration
	work time.Duration
	w    placement.Waiting
}

// workload is a deployment with its teams and arrivals.
type workload struct {
	name     string
	workers  []placement.Worker
	teams    []placement.Entitlement
	arrivals []arrival
	length   time.Duration
}

// kind is a class of sessions.
type kind struct {
	shape    placement.Shape
	teams    []string
	urgent   bool
	from, to time.Duration
	// perDay is how many arrive on an average day; burst how many come at once.
	perDay float64
	burst  int
}

// days is how long a run is.
const days = 5

// today is one user's deployment: 10 workers with 8 accelerators, three to a rack, and 4 teams of which 2 are large.
// Small jobs come in bursts; large gangs of 8 and 16 want whole workers.
func today(seed uint64, scale float64) workload {
	w := workload{name: "today", length: days * 24 * time.Hour, workers: grid(10, 8, 3, 10)}
	w.teams = []placement.Entitlement{
		{Team: "large-1", Shape: placement.Shape{Accelerators: 16, Adjacency: placement.SameRack}, Count: 1},
		{Team: "large-2", Shape: placement.Shape{Accelerators: 8, Adjacency: placement.SameWorker}, Count: 2},
		{Team: "small-1", Shape: placement.Shape{Accelerators: 4, Adjacency: placement.SameWorker}, Count: 1},
		{Team: "small-2", Shape: placement.Shape{Accelerators: 4, Adjacency: placement.SameWorker}, Count: 1},
	}
	large, small := []string{"large-1", "large-2"}, []string{"small-1", "small-2", "large-1", "large-2"}
	w.arrivals = draw(seed, scale, w.length, []kind{
		{shape: placement.Shape{Accelerators: 1, Adjacency: placement.AnyPlace}, teams: small, from: 10 * time.Minute, to: 4 * time.Hour, perDay: 300, burst: 12},
		{shape: placement.Shape{Accelerators: 2, Adjacency: placement.SameWorker}, teams: small, from: 20 * time.Minute, to: 4 * time.Hour, perDay: 100, burst: 4},
		{shape: placement.Shape{Accelerators: 4, Adjacency: placement.SameWorker}, teams: small, from: 30 * time.Minute, to: 4 * time.Hour, perDay: 40, burst: 1},
		{shape: placement.Shape{Accelerators: 8, Adjacency: placement.SameWorker}, teams: large, from: time.Hour, to: 6 * time.Hour, perDay: 20, burst: 1},
		{shape: placement.Shape{Accelerators: 16, Adjacency: placement.SameRack}, teams: large, from: 2 * time.Hour, to: 6 * time.Hour, perDay: 8, burst: 1},
		{shape: placement.Shape{Accelerators: 1, Adjacency: placement.AnyPlace}, teams: small, urgent: true, from: 2 * time.Minute, to: 20 * time.Minute, perDay: 20, burst: 1},
	})
	return w
}

// designTeams, designWorkers and designPair are the size to design for: 1,500 accelerators on 1,400 workers.
const (
	designTeams   = 170
	designWorkers = 1400
	designPair    = 100
)

// design is the size to design for: 750 sessions a day, gangs to 64, most for hours.
func design(seed uint64, scale float64) workload {
	w := workload{name: "design", length: days * 24 * time.Hour, workers: grid(designWorkers, 1, 3, designWorkers/5)}
	for i := range designPair {
		w.workers[i*designWorkers/designPair].Holders = make([]int64, 2)
	}
	var teams []string
	for i := range designTeams {
		name := fmt.Sprintf("team-%03d", i)
		teams = append(teams, name)
		shape := placement.Shape{Accelerators: 2, Adjacency: placement.SameZone}
		if i < 20 {
			shape = placement.Shape{Accelerators: 16, Adjacency: placement.SameZone}
		}
		w.teams = append(w.teams, placement.Entitlement{Team: name, Shape: shape, Count: 1})
	}
	w.arrivals = draw(seed, scale, w.length, []kind{
		{shape: placement.Shape{Accelerators: 1, Adjacency: placement.AnyPlace}, teams: teams, from: time.Hour, to: 12 * time.Hour, perDay: 380, burst: 20},
		{shape: placement.Shape{Accelerators: 3, Adjacency: placement.SameRack}, teams: teams, from: time.Hour, to: 12 * time.Hour, perDay: 160, burst: 4},
		{shape: placement.Shape{Accelerators: 16, Adjacency: placement.SameZone}, teams: teams, from: 2 * time.Hour, to: 24 * time.Hour, perDay: 90, burst: 1},
		{shape: placement.Shape{Accelerators: 32, Adjacency: placement.SameZone}, teams: teams, from: 2 * time.Hour, to: 24 * time.Hour, perDay: 40, burst: 1},
		{shape: placement.Shape{Accelerators: 64, Adjacency: placement.SameZone}, teams: teams, from: 2 * time.Hour, to: 24 * time.Hour, perDay: 30, burst: 1},
		{shape: placement.Shape{Accelerators: 2, Adjacency: placement.SameRack}, teams: teams, urgent: true, from: 10 * time.Minute, to: time.Hour, perDay: 50, burst: 1},
	})
	return w
}

// grid makes workers with the given accelerators, racks of the given size, and zones of the given size.
func grid(workers, accelerators, rack, zone int) []placement.Worker {
	var list []placement.Worker
	for i := range workers {
		list = append(list, placement.Worker{
			Name: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("r%04d", i/rack), Zone: fmt.Sprintf("z%d", i/zone),
			Holders: make([]int64, accelerators),
		})
	}
	return list
}

// demand is the share of all accelerators that the arrivals would keep busy.
func (w workload) demand() float64 {
	work, size := 0.0, 0.0
	for _, a := range w.arrivals {
		work += a.work.Hours() * float64(a.w.Shape.Accelerators)
	}
	for _, m := range w.workers {
		size += float64(len(m.Holders))
	}
	return work / (size * w.length.Hours())
}

// draw makes the arrivals of all kinds: bursts at random times, with run times that are spread evenly on a log scale.
func draw(seed uint64, scale float64, length time.Duration, kinds []kind) []arrival {
	random := rand.New(rand.NewPCG(seed, 99))
	var list []arrival
	for k, kd := range kinds {
		bursts := scale * kd.perDay * length.Hours() / 24 / float64(kd.burst)
		for range int(bursts) {
			at := time.Duration(random.Float64() * float64(length))
			for range 1 + random.IntN(2*kd.burst-1) {
				list = append(list, drawOne(random, kd, k, len(list), at))
			}
		}
	}
	return list
}

// urgentSuffix ends the names of urgent sessions.
const urgentSuffix = "-urgent"

func drawOne(random *rand.Rand, kd kind, k, number int, at time.Duration) arrival {
	ratio := float64(kd.to) / float64(kd.from)
	work := time.Duration(float64(kd.from) * pow(ratio, random.Float64())).Round(time.Second)
	suffix := ""
	if kd.urgent {
		suffix = urgentSuffix
	}
	return arrival{at: at, work: work, w: placement.Waiting{
		Session: fmt.Sprintf("s%05d-%d%s", number, k, suffix), Team: kd.teams[random.IntN(len(kd.teams))],
		Shape: kd.shape, Urgent: kd.urgent, Estimate: work,
	}}
}
