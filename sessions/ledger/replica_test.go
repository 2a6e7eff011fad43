package ledger

import (
	"testing"

	"yarrowgrade.example/yarrowgrade/sessions/hosting"
	"yarrowgrade.example/yarrowgrade/sessions/placement"
)

// TestReplica checks that a replica skips no record and never regresses.
func TestReplica(t *testing.T) {
	h := newHistory(t)
	data, err := Record{ID: "x", Cancel: &CancelSession{Session: "none"}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	at := func(offset int64) hosting.Record { return hosting.Record{Offset: offset, Data: data} }
	r := NewReplica()
	r.Replace(h.state)
	base := h.state.Revision()
	for _, tt := range []struct {
		records []hosting.Record
		want    int64
	}{
		{[]hosting.Record{at(base + 2)}, base},
		{[]hosting.Record{at(base), at(base + 1), at(base + 3)}, base + 1},
		{[]hosting.Record{at(base), at(base + 1)}, base + 1},
		{[]hosting.Record{at(base + 1), at(base + 2), at(base + 3)}, base + 3},
	} {
		r.Apply(tt.records)
		if got := r.State().Revision(); got != tt.want {
			t.Errorf("at revision %d, want %d", got, tt.want)
		}
	}
	if r.Replace(h.state) {
		t.Error("the replica regressed")
	}
}

// TestWatchWorker checks that goroutines that wait for a worker are woken by records that change
// the worker or the configuration and by the replacement of the state, and by nothing else.
func TestWatchWorker(t *testing.T) {
	h := newHistory(t)
	r := NewReplica()
	r.Replace(h.state)
	h.add(create("s", "guest", shape(1, placement.SameRegion)))
	for _, tt := range []struct {
		name   string
		record Record
		woken  bool
	}{
		{"a session", create("t", "guest", shape(1, placement.SameRegion)), false},
		{"a placement elsewhere", Record{Place: &Place{
			Session:  "s",
			Borrowed: true,
			Members:  []placement.Member{on("w1", 0)},
		}}, false},
		{"a placement here", Record{Place: &Place{
			Session:  "t",
			Borrowed: true,
			Members:  []placement.Member{on("w0", 0)},
		}}, true},
		{"the configuration", team("third"), true},
	} {
		r.Replace(h.state)
		_, changed := r.WatchWorker("w0")
		tt.record.ID, tt.record.Base = tt.name, h.state.Revision()
		data, _ := tt.record.Encode()
		h.addEncoded(data)
		r.Apply([]hosting.Record{{Offset: h.state.Revision(), Data: data}})
		if woken(changed) != tt.woken {
			t.Errorf("%s: woken is %v, want %v", tt.name, !tt.woken, tt.woken)
		}
	}
	_, changed := r.WatchWorker("w0")
	h.add(create("u", "guest", shape(1, placement.SameRegion)))
	if r.Replace(h.state); !woken(changed) {
		t.Error("the replacement of the state did not wake the waiter")
	}
}

func woken(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
