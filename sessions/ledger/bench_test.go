package ledger

import (
	"fmt"
	"runtime"
	"testing"

	"yarrowgrade.example/yarrowgrade/sessions/placement"
)

// fullSizeHistory returns a history with the given number of workers, scaled from the design size:
// 1,400 workers, 170 teams, 700 running and 50 waiting sessions, and the maximum number of
// remembered record IDs.
func fullSizeHistory(t testing.TB, workers int) *history {
	h := &history{t: t, state: NewState()}
	for i := range workers {
		w := testWorker(i)
		w.Accelerators = 1
		h.add(Record{Join: &JoinWorker{Worker: w}})
	}
	for i := range workers / 8 {
		h.add(team(fmt.Sprintf("t%d", i), placement.Guarantee{Shape: shape(2, placement.SameRack), Count: 1}))
	}
	for i := range workers / 2 {
		name := fmt.Sprintf("s%d", i)
		h.add(create(name, fmt.Sprintf("t%d", i%(workers/8)), shape(1, placement.SameRegion)))
		token := h.add(Record{Place: &Place{
			Session:  name,
			Members:  []placement.Member{on(fmt.Sprintf("w%d", i*2), 0)},
			Borrowed: true,
		}}).Offset
		h.add(Record{Start: &Start{Token: token}})
	}
	for h.state.seenOrder.Len() < seenLimit*workers/1400 {
		h.add(Record{Leave: &LeaveWorker{Worker: "nobody"}})
	}
	return h
}

// BenchmarkState measures the size of a state and the cost of a record and of a snapshot, for
// several numbers of workers.
func BenchmarkState(b *testing.B) {
	for _, workers := range []int{14, 140, 1400} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		h := fullSizeHistory(b, workers)
		runtime.GC()
		runtime.ReadMemStats(&after)
		data, err := EncodeState(h.state)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("workers=%d/borrowed", workers), func(b *testing.B) {
			benchPlace(b, h.state, true)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB-heap")
			b.ReportMetric(float64(len(data))/1024, "KB-snapshot")
		})
		b.Run(fmt.Sprintf("workers=%d/held", workers), func(b *testing.B) { benchPlace(b, h.state, false) })
		b.Run(fmt.Sprintf("workers=%d/snapshot", workers), func(b *testing.B) {
			for b.Loop() {
				encoded, err := EncodeState(h.state)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := DecodeState(encoded); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// benchPlace repeatedly applies one placement to the same state.
func benchPlace(b *testing.B, s State, borrowed bool) {
	h := &history{t: b, state: s, number: 1 << 20}
	h.add(create("bench", "t0", shape(2, placement.SameRack)))
	// Workers with odd numbers are free; w9 and w11 are both in rack r3.
	r := Record{
		ID:    "bench",
		Base:  h.state.Revision(),
		Place: &Place{Session: "bench", Members: []placement.Member{on("w9", 0), on("w11", 0)}, Borrowed: borrowed},
	}
	data, err := r.Encode()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, v := h.state.Apply(h.state.Revision()+1, data); v.Status != Accepted {
			b.Fatalf("%+v", v)
		}
	}
}
