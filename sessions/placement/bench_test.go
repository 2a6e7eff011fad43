package placement

import (
	"fmt"
	"testing"
	"time"
)

// benchInput returns a system in which three quarters of the accelerators are in use, half of them
// by borrowed placements.
func benchInput(workers, waiting, teams int) Input {
	in := Input{Workers: grid(workers, 1)}
	for i := range in.Workers {
		in.Workers[i].Zone = fmt.Sprintf("z%d", i*5/workers)
		if i%4 == 3 {
			continue
		}
		in.Workers[i].Holders[0] = int64(i + 1)
		in.Running = append(in.Running, Running{
			Token:     int64(i + 1),
			Session:   fmt.Sprintf("r%d", i),
			Team:      "none",
			Shape:     Shape{Accelerators: 1},
			Borrowed:  i%2 == 0,
			Remaining: time.Hour,
		})
	}
	for i := range teams {
		in.Entitlements = append(in.Entitlements, Entitlement{
			Team:  fmt.Sprintf("t%d", i),
			Shape: Shape{Accelerators: 2, Adjacency: SameZone},
			Count: 1,
		})
	}
	shapes := []Shape{{1, SameRegion}, {3, SameRack}, {16, SameZone}, {64, SameZone}}
	for i := range waiting {
		in.Waiting = append(in.Waiting, Waiting{
			Session: fmt.Sprintf("s%d", i), Team: fmt.Sprintf("t%d", i%max(teams, 1)), Shape: shapes[i%len(shapes)],
			Urgent: i%10 == 9, Estimate: time.Hour,
		})
	}
	return in
}

// BenchmarkDecide measures Decide for different numbers of workers, waiting sessions and teams. The
// last case is the size that the scheduler is designed for.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ workers, waiting, teams int }{
		{14, 30, 4}, {140, 30, 17}, {1400, 30, 170}, {1400, 1, 170}, {1400, 100, 170}, {1400, 30, 17}, {1400, 300, 170},
	} {
		b.Run(fmt.Sprintf("workers=%d/waiting=%d/teams=%d", size.workers, size.waiting, size.teams), func(b *testing.B) {
			in := benchInput(size.workers, size.waiting, size.teams)
			b.ReportAllocs()
			for b.Loop() {
				Decide(in, CompletionProfile())
			}
		})
	}
}
