package ledger

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yarrowgrade.example/yarrowgrade/sessions/placement"
)

// history applies records in sequence, as if they were read from a log.
type history struct {
	t      testing.TB
	state  State
	number int
}

func (h *history) add(r Record) Verdict {
	h.t.Helper()
	if r.ID == "" {
		h.number++
		r.ID = fmt.Sprintf("r%d", h.number)
		r.Base = h.state.Revision()
	}
	data, err := r.Encode()
	if err != nil {
		h.t.Fatal(err)
	}
	return h.addEncoded(data)
}

func (h *history) addEncoded(data []byte) Verdict {
	before := h.state
	var v Verdict
	h.state, v = h.state.Apply(h.state.Revision()+1, data)
	for _, w := range h.state.Workers() {
		if old, _ := before.Worker(w.Name); old.Revision != w.Revision && !slices.Contains(h.state.ChangedWorkers(), w.Name) {
			h.t.Errorf("record %d changed %s, but lists only %v as changed", v.Offset, w.Name, h.state.ChangedWorkers())
		}
	}
	return v
}

func testWorker(i int) Worker {
	return Worker{
		Name: fmt.Sprintf("w%d", i), Zone: "z", Rack: fmt.Sprintf("r%d", i/3), Accelerators: 4,
		Address: "http://127.0.0.1:1", Incarnation: "one", Slots: 2,
	}
}

func team(name string, guarantees ...placement.Guarantee) Record {
	value, _ := json.Marshal(Team{Name: name, Share: 1, Guarantees: guarantees})
	return Record{Config: &PutConfig{Key: TeamPrefix + name, Value: value}}
}

func shape(n int, a placement.Adjacency) placement.Shape {
	return placement.Shape{Accelerators: n, Adjacency: a}
}

func create(name, team string, s placement.Shape) Record {
	return Record{Create: &CreateSession{Spec: SessionSpec{Name: name, Team: team, Shape: s}}}
}

func on(worker string, accelerators ...int) placement.Member {
	return placement.Member{Worker: worker, Accelerators: accelerators}
}

// newHistory returns a history with two racks of three workers, a team with a guarantee of one
// whole worker, and a team without a guarantee.
func newHistory(t testing.TB) *history {
	h := &history{t: t, state: NewState()}
	for i := range 6 {
		h.add(Record{Join: &JoinWorker{Worker: testWorker(i)}})
	}
	h.add(team("owner", placement.Guarantee{Shape: shape(4, placement.SameWorker), Count: 1}))
	h.add(team("guest"))
	return h
}

func TestFold(t *testing.T) {
	whole := shape(4, placement.SameWorker)
	tests := []struct {
		name    string
		records []Record
		want    Status
		reason  string
	}{
		{"two puts race for one revision", []Record{team("new"), team("new")}, Rejected, "someone else changed it"},
		{"a session that exists", []Record{
			create("s", "guest", whole),
			create("s", "guest", whole),
		}, Rejected, "exists already"},
		{"a team that is not known", []Record{create("s", "nobody", whole)}, Rejected, "team"},
		{"an accelerator that is held", []Record{
			create("a", "guest", whole), create("b", "guest", whole),
			{Place: &Place{Session: "a", Members: []placement.Member{on("w0", 0, 1, 2, 3)}, Borrowed: true}},
			{Place: &Place{Session: "b", Members: []placement.Member{on("w0", 0, 1, 2, 3)}, Borrowed: true}},
		}, Rejected, "is held by placement"},
		{"a part of a gang", []Record{
			create("a", "guest", whole),
			{Place: &Place{Session: "a", Members: []placement.Member{on("w0", 0, 1)}, Borrowed: true}},
		}, Rejected, "have 2 accelerators, want 4"},
		{"a gang over two workers where one was asked for", []Record{
			create("a", "guest", whole),
			{Place: &Place{Session: "a", Members: []placement.Member{on("w0", 0, 1), on("w1", 0, 1)}, Borrowed: true}},
		}, Rejected, "do not share one worker"},
		{"a gang over two regions", []Record{
			{Join: &JoinWorker{Worker: Worker{
				Name:         "far",
				Region:       "south",
				Zone:         "z9",
				Rack:         "r9",
				Accelerators: 4,
				Address:      "http://127.0.0.1:1",
				Incarnation:  "one",
			}}},
			create("a", "guest", shape(4, placement.SameRegion)),
			{Place: &Place{Session: "a", Members: []placement.Member{on("w0", 0, 1), on("far", 0, 1)}, Borrowed: true}},
		}, Rejected, "are in 2 regions"},
		{"held by a team without a guarantee", []Record{
			create("a", "guest", whole),
			{Place: &Place{Session: "a", Members: []placement.Member{on("w0", 0, 1, 2, 3)}}},
		}, Rejected, "no unused guarantee"},
		{"a reclaim of what does not yield", []Record{
			create("a", "owner", whole),
			{Place: &Place{Session: "a", Members: []placement.Member{on("w0", 0, 1, 2, 3)}}},
			{Stop: &Stop{Token: 10, For: "b"}},
		}, Rejected, "does not yield"},
		{"an agent's leave after it was replaced", []Record{
			{Leave: &LeaveWorker{Worker: "w0", Incarnation: "older"}},
		}, Rejected, "has been replaced"},
		{"a start of what is stopping", []Record{
			create("a", "guest", whole),
			{Place: &Place{Session: "a", Members: []placement.Member{on("w0", 0, 1, 2, 3)}, Borrowed: true}},
			{Stop: &Stop{Token: 10}}, {Start: &Start{Token: 10}},
		}, Rejected, "is stopping"},
		{"an unknown limit", []Record{{Config: &PutConfig{
			Key:   "limits",
			Value: []byte(`{"queue":1}`),
		}}}, Rejected, "unknown field"},
		{"a policy that does not compile", []Record{
			{Config: &PutConfig{Key: "policy/p", Value: []byte(`{"name":"p","decides":"allow","source":"team =="}`)}},
		}, Rejected, "line 1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHistory(t)
			var v Verdict
			for _, r := range tt.records {
				v = h.add(r)
			}
			if v.Status != tt.want || !strings.Contains(v.Reason, tt.reason) {
				t.Errorf("got %s %q, want %s %q", v.Status, v.Reason, tt.want, tt.reason)
			}
		})
	}
}

// TestLostAnswers appends a record a second time, after it was voided, and after its ID was
// evicted. Such appends occur when the response to an append is lost or the append itself is
// delayed.
func TestLostAnswers(t *testing.T) {
	h := newHistory(t)
	r := create("s", "guest", shape(1, placement.SameRegion))
	r.ID, r.Base = "again", h.state.Revision()
	if v := h.add(r); v.Status != Accepted {
		t.Fatalf("first: %+v", v)
	}
	h.add(Record{Cancel: &CancelSession{Session: "s"}})
	if v := h.add(r); v.Status != Duplicate {
		t.Errorf("the second append of an id: %+v, want duplicate", v)
	}
	h.add(Record{Void: &Void{ID: "late"}})
	late := create("t", "guest", shape(1, placement.SameRegion))
	late.ID, late.Base = "late", 1
	if v := h.add(late); v.Status != Duplicate {
		t.Errorf("a record after its void: %+v, want duplicate", v)
	}
	if v, found := h.state.Verdict("late"); !found || v.Status != Rejected {
		t.Errorf("the verdict of a voided id: %+v, want rejected", v)
	}
	for range seenLimit {
		h.add(Record{Leave: &LeaveWorker{Worker: "nobody"}})
	}
	if v := h.add(r); v.Status != Rejected || !strings.Contains(v.Reason, "older than the ids remembered") {
		t.Errorf("an append after its id was evicted: %+v, want rejected", v)
	}
}

// TestUnreadable checks that truncated, unknown and empty records change nothing but the revision.
func TestUnreadable(t *testing.T) {
	for _, data := range []string{
		"",
		"{",
		`{"id":"x"}`,
		`{"id":"x","base":0,"at":0,"later":{}}`,
		`{"id":"x","void":{"id":"a"},"stop":{"token":1}}`,
		"\x00\xff",
	} {
		h := newHistory(t)
		before := h.state
		if v := h.addEncoded([]byte(data)); v.Status != Unreadable || v.Offset != before.Revision()+1 || v.Reason == "" {
			t.Errorf("%q: %+v", data, v)
		}
		before.revision++
		if !equalStates(before, h.state) {
			t.Errorf("%q changed the state", data)
		}
	}
}

// equalStates compares two states by their stored forms.
func equalStates(a, b State) bool {
	x, _ := EncodeState(a)
	y, _ := EncodeState(b)
	return reflect.DeepEqual(x, y)
}

// TestSessionIsKept stops and loses the members of a gang in different orders. The session must
// wait again, with the progress of the newest checkpoint that all members have.
func TestSessionIsKept(t *testing.T) {
	for _, tt := range []struct {
		name     string
		saved    int64
		releases []Release
		progress int64
	}{
		{"stopped as a whole", 0, []Release{
			{Worker: "w0", Cause: StoppedByAgent, Progress: 9},
			{Worker: "w1", Cause: StoppedByAgent, Progress: 7},
		}, 7},
		{"the first member lost", 0, []Release{
			{Worker: "w0", Cause: WorkerGone},
			{Worker: "w1", Cause: StoppedByAgent, Progress: 7},
		}, 0},
		{"a member lost after a checkpoint", 5, []Release{
			{Worker: "w0", Cause: WorkerGone},
			{Worker: "w1", Cause: StoppedByAgent, Progress: 7},
		}, 5},
		{"the last member lost", 0, []Release{
			{Worker: "w0", Cause: StoppedByAgent, Progress: 7},
			{Worker: "w1", Cause: WorkerGone},
		}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHistory(t)
			h.add(create("s", "guest", shape(8, placement.SameRack)))
			token := h.add(Record{Place: &Place{
				Session:  "s",
				Members:  []placement.Member{on("w0", 0, 1, 2, 3), on("w1", 0, 1, 2, 3)},
				Borrowed: true,
			}}).Offset
			h.add(Record{Start: &Start{Token: token}})
			h.add(Record{Checkpoint: &Checkpoint{Token: token, Progress: time.Duration(tt.saved)}})
			for i, r := range tt.releases {
				r.Token = token
				if v := h.add(Record{Release: &r}); v.Status != Accepted {
					t.Fatalf("release: %+v", v)
				}
				if p, found := h.state.Placement(token); found != (i == 0) || (found && p.Phase != Stopping) {
					t.Errorf("after release %d: found %v, %s", i, found, p.Phase)
				}
			}
			s, _ := h.state.Session("s")
			if s.Phase != SessionWaiting || s.Token != 0 || int64(s.Progress) != tt.progress || s.Restarts != 1 {
				t.Errorf("session %+v, want waiting with progress %d", s, tt.progress)
			}
			for _, w := range h.state.Workers() {
				if w.held() {
					t.Errorf("%s is still held: %v", w.Name, w.Holders)
				}
			}
		})
	}
}

// TestGuarantees draws guaranteed and borrowed placements in random order, on a system in which
// every accelerator is guaranteed. After each step, every unused guarantee must still fit, with its
// shape, into the free and borrowed accelerators.
func TestGuarantees(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &history{t: t, state: NewState()}
		for i := range 3 {
			h.add(Record{Join: &JoinWorker{Worker: testWorker(i)}})
		}
		h.add(team("a", placement.Guarantee{Shape: shape(8, placement.SameRack), Count: 1}))
		h.add(team("b", placement.Guarantee{Shape: shape(4, placement.SameWorker), Count: 1}))
		for i := range rapid.IntRange(5, 20).Draw(rt, "steps") {
			name := fmt.Sprintf("s%d", i)
			s := rapid.SampledFrom([]placement.Shape{
				shape(2, placement.SameWorker),
				shape(4, placement.SameWorker),
				shape(8, placement.SameRack),
			}).Draw(rt, "shape")
			h.add(create(name, rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "team"), s))
			h.add(Record{Place: &Place{
				Session:  name,
				Members:  drawMembers(rt, h.state, s.Accelerators),
				Borrowed: rapid.SampledFrom([]bool{false, false, true}).Draw(rt, "borrowed"),
			}})
			if tokens := h.state.Placements(); len(tokens) > 0 && rapid.Bool().Draw(rt, "release") {
				p := tokens[rapid.IntRange(0, len(tokens)-1).Draw(rt, "which")]
				for _, m := range p.Members {
					h.add(Record{Release: &Release{Token: p.Token, Worker: m.Worker, Cause: StoppedByAgent}})
				}
			}
			if short := h.state.Shortfall(); len(short) > 0 {
				rt.Fatalf("after %d steps these guarantees cannot be met: %v", i, short)
			}
		}
	})
}

// drawMembers draws up to n free accelerators, with at most one to four per worker.
func drawMembers(rt *rapid.T, s State, n int) []placement.Member {
	perWorker := rapid.SampledFrom([]int{3, 2, 4, 1}).Draw(rt, "on each worker")
	var list []placement.Member
	for _, w := range s.Workers() {
		m := placement.Member{Worker: w.Name}
		for a, h := range w.Holders {
			if h == 0 && len(m.Accelerators) < min(perWorker, n) {
				m.Accelerators = append(m.Accelerators, a)
			}
		}
		n -= len(m.Accelerators)
		if len(m.Accelerators) > 0 {
			list = append(list, m)
		}
	}
	return list
}

// TestSnapshotRoundTrip draws histories and checks that a state loaded from a snapshot equals the
// original, also after further records.
func TestSnapshotRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHistory(t)
		for i := range rapid.IntRange(0, 12).Draw(rt, "steps") {
			name := fmt.Sprintf("s%d", i)
			h.add(create(name, "guest", shape(2, placement.SameRegion)))
			h.add(Record{Place: &Place{Session: name, Members: drawMembers(rt, h.state, 2), Borrowed: true}})
			if rapid.Bool().Draw(rt, "cancel") {
				h.add(Record{Cancel: &CancelSession{Session: name}})
			}
		}
		data, err := EncodeState(h.state)
		if err != nil {
			rt.Fatal(err)
		}
		loaded, err := DecodeState(data)
		if err != nil {
			rt.Fatal(err)
		}
		other := &history{t: t, state: loaded, number: h.number}
		for _, x := range []*history{h, other} {
			x.add(create("next", "guest", shape(1, placement.SameRegion)))
			x.add(Record{Void: &Void{ID: "r1"}})
		}
		if !equalStates(h.state, other.state) {
			rt.Fatal("the state from the snapshot diverged from the original")
		}
	})
}

// FuzzRecord checks that applying any byte string does not panic and is deterministic.
func FuzzRecord(f *testing.F) {
	for _, r := range []Record{
		team("x"),
		create("s", "guest", shape(1, placement.SameRegion)),
		{ID: "a", Void: &Void{ID: "b"}},
		{Place: &Place{Session: "s", Members: []placement.Member{on("w0", 3, 1)}}},
	} {
		r.ID = "seed"
		data, _ := r.Encode()
		f.Add(data)
	}
	start := newHistory(f).state
	f.Fuzz(func(t *testing.T, data []byte) {
		a, v := start.Apply(start.Revision()+1, data)
		b, w := start.Apply(start.Revision()+1, data)
		if v != w || !equalStates(a, b) {
			t.Errorf("%q is applied differently: %+v and %+v", data, v, w)
		}
		if a.Revision() != start.Revision()+1 {
			t.Errorf("revision %d", a.Revision())
		}
	})
}

// FuzzState checks that decoding any byte string does not panic.
func FuzzState(f *testing.F) {
	data, _ := EncodeState(newHistory(f).state)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) { _, _ = DecodeState(data) })
}
