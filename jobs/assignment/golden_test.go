package assignment

import (
	"encoding/json"
	"reflect"
	"testing"

	"yarrowgrade.example/yarrowgrade/internal/goldentest"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// The golden values of the message types.
var (
	goldenIncarnation = incarnation.ID{Instance: "i-7f3a91c2", StartMillis: 1764722812345}
	goldenRun         = RunID{Task: job.TaskName{Job: "5c0e7a21d94b36f8", Round: 3, Step: 1, Index: 17}, Run: 2}
	goldenPoll        = Poll{
		Worker:       "worker-1",
		Agent:        "agent-1",
		Sequence:     7,
		Term:         4,
		Fence:        4194309,
		RefusedFence: 4194309,
		State: &WorkerState{
			ID:          goldenIncarnation,
			Machine:     "m-1",
			Service:     "parkpay",
			Zone:        "plovdiv-a",
			Rack:        "r1-3",
			Labels:      []string{"gpu8", "r1-3"},
			Capacity:    job.Resources{CPU: 130000, Memory: 250000, Accelerators: 8},
			Draining:    true,
			DrainMillis: 900,
			Version:     "v1",
		},
		Complete:            true,
		Partial:             true,
		Runs:                []Run{{RunID: goldenRun, Percent: 41, AgeMillis: 5000, ListedMillis: 4500}},
		Ends:                []End{goldenEnd},
		Refused:             []Refusal{{RunID: goldenRun, Reason: "room", Uncertain: true, Started: true}},
		EndedIncarnations:   []IncarnationEnd{goldenIncarnationEnd},
		ClosingIncarnations: []incarnation.ID{goldenIncarnation, {Instance: "i-1"}},
		OpenStarts:          []OpenStart{goldenOpenStart},
		NoStartsMillis:      11300,
		AgentMillis:         1850,
		Unresponsive:        true,
		FailingMillis:       1600,
		AckedEnd:            57,
		Wait:                true,
		Delta:               &Delta{BaseSequence: 6, ElapsedMillis: 500, ListedMillis: 450, Percents: []int{43}},
	}
	goldenOpenStart      = OpenStart{RunID: goldenRun, OpenMillis: 17400}
	goldenEnd            = End{RunID: goldenRun, Number: 58, Reason: job.EndDone, Checkpoint: "ckpt-9", TookMillis: 61000}
	goldenIncarnationEnd = IncarnationEnd{
		ID:                goldenIncarnation,
		Drained:           true,
		Draining:          true,
		Runs:              []InterruptedRun{{RunID: goldenRun, Started: true, AgeMillis: 700}},
		Complete:          true,
		LastContactMillis: 1200,
	}
	goldenAnswer = Answer{
		Term:            4,
		Fence:           65537,
		FenceOffered:    true,
		HeldMillis:      300,
		LeaseMillis:     6000,
		Start:           []Start{{RunID: goldenRun, Spec: "spec", Checkpoint: "ckpt-9", Permit: "ticket", Suspect: true}},
		Stop:            []RunID{goldenRun},
		StopUnlisted:    []RunID{goldenRun},
		ZoneOpen:        true,
		ZoneProofMillis: 250,
		Roles:           []Role{{RunID: goldenRun, LatencyTargetMillis: 250, BestEffort: true}},
		Incarnation:     goldenIncarnation,
		AckedEnd:        58,
		AckedPoll:       7,
		BasePoll:        6,
	}
)

func TestGoldenPoll(t *testing.T)      { goldentest.JSON(t, "poll-partial", goldenPoll) }
func TestGoldenAnswer(t *testing.T)    { goldentest.JSON(t, "answer", goldenAnswer) }
func TestGoldenLife(t *testing.T)      { goldentest.JSON(t, "life-versioned", *goldenPoll.State) }
func TestGoldenRunID(t *testing.T)     { goldentest.JSON(t, "run-id", goldenRun) }
func TestGoldenRun(t *testing.T)       { goldentest.JSON(t, "run", goldenPoll.Runs[0]) }
func TestGoldenEnd(t *testing.T)       { goldentest.JSON(t, "end", goldenPoll.Ends[0]) }
func TestGoldenRefusal(t *testing.T)   { goldentest.JSON(t, "refusal", goldenPoll.Refused[0]) }
func TestGoldenLifeEnd(t *testing.T)   { goldentest.JSON(t, "life-end", goldenIncarnationEnd) }
func TestGoldenOpenStart(t *testing.T) { goldentest.JSON(t, "open-start", goldenOpenStart) }
func TestGoldenCutRun(t *testing.T)    { goldentest.JSON(t, "cut-run", goldenIncarnationEnd.Runs[0]) }
func TestGoldenSince(t *testing.T)     { goldentest.JSON(t, "since", *goldenPoll.Delta) }
func TestGoldenStart(t *testing.T)     { goldentest.JSON(t, "start", goldenAnswer.Start[0]) }
func TestGoldenRole(t *testing.T)      { goldentest.JSON(t, "role", goldenAnswer.Roles[0]) }

// TestGoldenWithoutVersion: the messages of an agent that doesn't pass the worker's version on are
// still read, and written as before.
func TestGoldenWithoutVersion(t *testing.T) {
	poll, state := goldenPoll, *goldenPoll.State
	poll.Partial = false
	state.Version = ""
	poll.State = &state
	testGoldenOlder(t, "poll.json", poll)
	testGoldenOlder(t, "poll-defaults.json", Poll{})
	testGoldenOlder(t, "life.json", state)
	testGoldenOlder(t, "life-defaults.json", WorkerState{})
}

// TestGoldenWithoutPartial: the polls of an agent that doesn't tell partial lists apart are still
// read, and written as before.
func TestGoldenWithoutPartial(t *testing.T) {
	poll := goldenPoll
	poll.Partial = false
	testGoldenOlder(t, "poll-versioned.json", poll)
	testGoldenOlder(t, "poll-versioned-defaults.json", Poll{})
}

// testGoldenOlder checks that a record is decoded into the value, and that the value is encoded as
// the record.
func testGoldenOlder[T any](t *testing.T, name string, value T) {
	t.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Bytes(t, name, append(encoded, '\n'))
	var decoded T
	if err := json.Unmarshal(goldentest.Read(t, name), &decoded); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(decoded, value) {
		t.Errorf("%s was decoded into %+v, want %+v", name, decoded, value)
	}
}

func TestGoldenHandover(t *testing.T) {
	goldentest.JSON(t, "handover", Handover{Term: 4, Name: "entry-1/7f3a", FailingMillis: 1500})
}

func TestGoldenRedirect(t *testing.T) {
	goldentest.JSON(t, "redirect", Redirect{
		Term:             4,
		Address:          "10.1.0.19:7000",
		EntryIncarnation: "entry-2/91c2",
		Superseded:       true,
	})
}

// TestGoldenInternalFields checks that the fields of a run that are internal to an agent are not
// encoded in its polls.
func TestGoldenInternalFields(t *testing.T) {
	inside := goldenPoll.Runs[0]
	inside.Checkpoint, inside.LatencyMillis = "ckpt-9", 120
	goldentest.JSON(t, "run", inside)
}

// TestGoldenEndings checks the encoded end reasons, as polls carry them and as they are stored with
// progress.
func TestGoldenEndings(t *testing.T) {
	var ends []End
	for _, how := range []job.EndReason{
		job.EndDone,
		job.EndFailed,
		job.EndStopped,
		job.EndLeaseExpired,
		job.EndGangBroken,
		job.EndGangIncomplete,
		job.EndLost,
		job.EndRefused,
	} {
		ends = append(ends, End{RunID: goldenRun, Number: int64(len(ends) + 1), Reason: how, Checkpoint: "s", TookMillis: 1})
	}
	goldentest.JSON(t, "endings", ends)
}

func TestGoldenPaths(t *testing.T) {
	goldentest.Bytes(t, "paths.txt", []byte(Path+"\n"+LeaderPath+"\n"+HandoverPath+"\n"))
}
