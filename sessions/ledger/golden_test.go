package ledger

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/goldentest"
	"yarrowgrade.example/yarrowgrade/sessions/placement"
)

// The golden values have every exported field set.
var (
	goldenShape  = placement.Shape{Accelerators: 2, Adjacency: placement.SameRack}
	goldenMember = placement.Member{Worker: "worker-1", Accelerators: []int{1, 3}}
	goldenWorker = Worker{
		Name: "worker-1", Region: "region-1", Zone: "zone-1", Rack: "rack-1", Accelerators: 4, Service: "parkpay",
		Address: "http://10.1.0.1:7200", Incarnation: "incarnation-1", Slots: 3, Leaving: true, Joined: 5,
		Holders: []int64{7, 0, 7, 0}, Revision: 9,
	}
	goldenSpec    = SessionSpec{Name: "session-1", Team: "plates", Shape: goldenShape, Urgent: true, Work: 3600}
	goldenSession = Session{
		SessionSpec: goldenSpec, Phase: SessionPlaced, Token: 7, Progress: 90 * time.Second, Since: 1_700_000_000_001,
		Created: 6, Restarts: 2, Trace: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
	}
	goldenPlacement = Placement{
		Token: 7, Session: "session-1", Team: "plates", Shape: goldenShape, Borrowed: true, Phase: Stopping,
		Members: []placement.Member{goldenMember}, Released: []string{"worker-1"}, Progress: 80 * time.Second,
		Reason: "yields", For: "session-2", Since: 1_700_000_000_002,
	}
	goldenChange = Change{
		Revision: 4,
		Value:    json.RawMessage(`{"profile":"completion"}`),
		Author:   "ada",
		At:       1_700_000_000_003,
	}
	goldenEntry = ConfigEntry{Key: PlacementKey, Change: goldenChange, History: []Change{goldenChange}}
	goldenTeam  = Team{Name: "plates", Guarantees: []placement.Guarantee{{Shape: goldenShape, Count: 2}}, Share: 3}
)

// goldenRecords returns a record of each kind, by the name of the kind.
func goldenRecords() map[string]Record {
	record := func(r Record) Record {
		r.ID, r.Base, r.At = "id-1", 3, 1_700_000_000_000
		return r
	}
	return map[string]Record{
		"void": record(Record{Void: &Void{ID: "id-0"}}),
		"config": record(Record{Config: &PutConfig{
			Key:      PlacementKey,
			Value:    goldenChange.Value,
			Revision: 4,
			Author:   "ada",
		}}),
		"join":   record(Record{Join: &JoinWorker{Worker: goldenWorker}}),
		"leave":  record(Record{Leave: &LeaveWorker{Worker: "worker-1", Incarnation: "incarnation-1"}}),
		"create": record(Record{Create: &CreateSession{Spec: goldenSpec, Trace: goldenSession.Trace}}),
		"cancel": record(Record{Cancel: &CancelSession{Session: "session-1"}}),
		"place": record(Record{Place: &Place{
			Session:  "session-1",
			Members:  []placement.Member{goldenMember},
			Borrowed: true,
		}}),
		"start":  record(Record{Start: &Start{Token: 7}}),
		"stop":   record(Record{Stop: &Stop{Token: 7, Reason: "yields", For: "session-2"}}),
		"finish": record(Record{Finish: &Finish{Token: 7}}),
		"release": record(Record{Release: &Release{
			Token:    7,
			Worker:   "worker-1",
			Cause:    StoppedByAgent,
			Progress: 80 * time.Second,
		}}),
		"saved":      record(Record{Saved: &Saved{Revision: 8}}),
		"checkpoint": record(Record{Checkpoint: &Checkpoint{Token: 7, Progress: 80 * time.Second}}),
	}
}

func TestGoldenRecords(t *testing.T) {
	kinds := goldenRecords()
	for name, r := range kinds {
		file := "record-" + name + ".json"
		data, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		goldentest.Bytes(t, file, data)
		decoded, err := DecodeRecord(goldentest.Read(t, file))
		if err != nil || !reflect.DeepEqual(decoded, r) {
			t.Errorf("%s: decoded %+v, %v", file, decoded, err)
		}
	}
	// One record with all kinds, so that goldentest finds a kind without a golden record.
	goldentest.JSON(t, "record", Record{
		ID: "id-1", Base: 3, At: 1_700_000_000_000, Void: kinds["void"].Void, Config: kinds["config"].Config,
		Join: kinds["join"].Join, Leave: kinds["leave"].Leave, Create: kinds["create"].Create, Cancel: kinds["cancel"].Cancel,
		Place: kinds["place"].Place, Start: kinds["start"].Start, Stop: kinds["stop"].Stop, Finish: kinds["finish"].Finish,
		Release: kinds["release"].Release, Saved: kinds["saved"].Saved, Checkpoint: kinds["checkpoint"].Checkpoint,
	})
}

func TestGoldenViews(t *testing.T) {
	goldentest.JSON(t, "worker", goldenWorker)
	goldentest.JSON(t, "session-spec", goldenSpec)
	goldentest.JSON(t, "session", goldenSession)
	goldentest.JSON(t, "placement", goldenPlacement)
	goldentest.JSON(t, "change", goldenChange)
	goldentest.JSON(t, "config-entry", goldenEntry)
	goldentest.JSON(t, "verdict", Verdict{Offset: 8, ID: "id-1", Status: Rejected, Reason: "why"})
}

func TestGoldenConfig(t *testing.T) {
	goldentest.JSON(t, "team", goldenTeam)
	goldentest.JSON(t, "limits", Limits{QueueLength: 1, RetryPercent: 2, MaxDeadlineMillis: 3})
	goldentest.JSON(t, "placement-config", PlacementConfig{Profile: FragmentationFirst})
	data, err := json.Marshal(DefaultLimits())
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Bytes(t, "limits-in-force.json", data)
}

// TestGoldenConfigShort checks that fields with a default may be omitted.
func TestGoldenConfigShort(t *testing.T) {
	goldentest.Bytes(t, "team-short.json", []byte(`{"name":"plates","guarantees":[{"accelerators":8}]}`))
	team, err := decodeTeam(goldentest.Read(t, "team-short.json"))
	wantTeam := Team{Name: "plates", Share: 1, Guarantees: []placement.Guarantee{
		{Shape: placement.Shape{Accelerators: 8, Adjacency: placement.SameRegion}, Count: 1},
	}}
	if err != nil || !reflect.DeepEqual(team, wantTeam) {
		t.Errorf("decoded %+v, %v", team, err)
	}
	goldentest.Bytes(t, "limits-short.json", []byte(`{"queue_length":5}`))
	limits := DefaultLimits()
	wantLimits := Limits{QueueLength: 5, RetryPercent: 10, MaxDeadlineMillis: 60_000}
	if err := decodeValid(goldentest.Read(t, "limits-short.json"), &limits); err != nil || limits != wantLimits {
		t.Errorf("decoded %+v, %v", limits, err)
	}
	for key, file := range map[string]string{
		TeamPrefix + "plates": "team-short.json", LimitsKey: "limits-short.json", PlacementKey: "placement-config.json",
	} {
		if err := ValidateConfig(key, bytes.TrimSpace(goldentest.Read(t, file))); err != nil {
			t.Errorf("%s: %v", key, err)
		}
	}
}

// goldenStoredState returns the stored form of a state with every field set.
func goldenStoredState() storedState {
	team, err := json.Marshal(goldenTeam)
	if err != nil {
		panic(err)
	}
	return storedState{
		Revision: 20, ConfigRevision: 4, SavedRevision: 11, SavedAt: 1_700_000_000_004,
		Config: []ConfigEntry{
			goldenEntry, {
				Key:    TeamPrefix + "plates",
				Change: Change{Revision: 3, Value: team, Author: "ada", At: 1_700_000_000_005},
			},
		},
		Workers: []Worker{goldenWorker}, Sessions: []Session{goldenSession}, Placements: []Placement{goldenPlacement},
		Ended: map[int64]string{15: "session-0"},
		Seen:  []Verdict{{Offset: 8, ID: "id-1", Status: Rejected, Reason: "why"}, {Offset: 9, ID: "id-2", Status: Accepted}},
	}
}

// TestGoldenState checks the stored form of a state, both plain and compressed as in a snapshot.
func TestGoldenState(t *testing.T) {
	goldentest.JSON(t, "state", goldenStoredState())
	s, err := goldenStoredState().state()
	if err != nil {
		t.Fatal(err)
	}
	if got := plainState(t, s); !bytes.Equal(got, goldentest.Read(t, "state.json")) {
		t.Errorf("the state is stored as %s", got)
	}
	// The compressed bytes may differ between Go versions, so the file is only read.
	const file = "state.gz"
	decoded, err := DecodeState(goldentest.Read(t, file))
	if err != nil {
		t.Fatal(err)
	}
	if got := plainState(t, decoded); !bytes.Equal(got, goldentest.Read(t, "state.json")) {
		t.Errorf("the compressed state was read as %s", got)
	}
}

// plainState returns the uncompressed stored form of a state.
func plainState(t *testing.T, s State) []byte {
	t.Helper()
	data, err := EncodeState(s)
	if err != nil {
		t.Fatal(err)
	}
	zip, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	plain, err := io.ReadAll(zip)
	if err != nil {
		t.Fatal(err)
	}
	return plain
}

func TestGoldenChunk(t *testing.T) {
	goldentest.JSON(t, "chunk", chunk{Writer: "entry-1", Revision: 20, Index: 1, Total: 2, Data: []byte("part")})
}

// TestGoldenHistory applies a history written by an earlier version and compares the verdicts and
// the resulting state.
func TestGoldenHistory(t *testing.T) {
	goldentest.Bytes(t, "history.jsonl", goldenHistory(t))
	var verdicts bytes.Buffer
	s := NewState()
	for i, line := range bytes.Split(bytes.TrimSpace(goldentest.Read(t, "history.jsonl")), []byte("\n")) {
		var v Verdict
		s, v = s.Apply(int64(i+1), line)
		fmt.Fprintf(&verdicts, "%d %s %s\n", v.Offset, v.ID, v.Status)
	}
	goldentest.Bytes(t, "history-verdicts.txt", verdicts.Bytes())
	goldentest.Bytes(t, "history-state.json", withoutReasons(t, plainState(t, s)))
}

// withoutReasons returns a stored state without the rejection reasons, whose wording may change
// because only people read them.
func withoutReasons(t *testing.T, plain []byte) []byte {
	t.Helper()
	var form storedState
	if err := json.Unmarshal(plain, &form); err != nil {
		t.Fatal(err)
	}
	for i := range form.Seen {
		form.Seen[i].Reason = ""
	}
	data, err := json.Marshal(form)
	if err != nil {
		t.Fatal(err)
	}
	return append(data, '\n')
}

// goldenHistory returns a history with one record per line, in which two sessions of one team are
// created, placed, started, stopped and ended.
func goldenHistory(t *testing.T) []byte {
	t.Helper()
	second := goldenSpec
	second.Name, second.Urgent = "session-2", false
	worker := goldenWorker
	worker.Leaving, worker.Joined, worker.Holders, worker.Revision = false, 0, nil, 0
	team, err := json.Marshal(goldenTeam)
	if err != nil {
		t.Fatal(err)
	}
	member := func(accelerators ...int) []placement.Member {
		return []placement.Member{{Worker: worker.Name, Accelerators: accelerators}}
	}
	var out bytes.Buffer
	for i, r := range []Record{
		{Config: &PutConfig{Key: TeamPrefix + goldenTeam.Name, Value: team, Author: "ada"}},
		{Config: &PutConfig{Key: PlacementKey, Value: goldenChange.Value, Author: "ada"}},
		{Config: &PutConfig{
			Key:      PlacementKey,
			Value:    json.RawMessage(`{"profile":"fragmentation"}`),
			Revision: 2,
			Author:   "bob",
		}},
		{Join: &JoinWorker{Worker: worker}},
		{Create: &CreateSession{Spec: goldenSpec, Trace: goldenSession.Trace}},
		{Create: &CreateSession{Spec: second}},
		{Place: &Place{Session: goldenSpec.Name, Members: member(0, 1)}},
		{Place: &Place{Session: second.Name, Members: member(1, 2), Borrowed: true}},
		{Place: &Place{Session: second.Name, Members: member(2, 3), Borrowed: true}},
		{Start: &Start{Token: 7}},
		{Start: &Start{Token: 9}},
		{Checkpoint: &Checkpoint{Token: 9, Progress: time.Minute}},
		{Stop: &Stop{Token: 9, Reason: "makes room", For: "session-3"}},
		{Release: &Release{Token: 9, Worker: worker.Name, Cause: StoppedByAgent, Progress: 2 * time.Minute}},
		{Finish: &Finish{Token: 7}},
		{Release: &Release{Token: 7, Worker: worker.Name, Cause: WorkerGone}},
		{Saved: &Saved{Revision: 12}},
		{Cancel: &CancelSession{Session: second.Name}},
		{Leave: &LeaveWorker{Worker: worker.Name, Incarnation: worker.Incarnation}},
		{Void: &Void{ID: "never-came"}},
	} {
		r.ID, r.Base, r.At = fmt.Sprintf("id-%d", i+1), int64(i), 1_700_000_000_000+int64(i)
		data, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		out.Write(append(data, '\n'))
	}
	return out.Bytes()
}
