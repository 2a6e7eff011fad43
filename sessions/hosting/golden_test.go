package hosting

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/goldentest"
)

func TestGoldenLog(t *testing.T) {
	goldentest.JSON(t, "batch", Batch{Records: []Record{{Offset: 3, Data: []byte("data")}}, Oldest: 1, Next: 4})
	goldentest.JSON(t, "append-answer", AppendAnswer{Offset: 3})
}

func TestGoldenBoxes(t *testing.T) {
	goldentest.JSON(t, "box", Box{Name: "box-1", Role: EntryBox, State: BoxLive, Address: "http://10.1.0.9:7100"})
	goldentest.JSON(t, "box-words", []string{string(EntryBox), string(TargetBox), string(BoxLive), string(BoxLeaving)})
}

func TestGoldenTasks(t *testing.T) {
	goldentest.JSON(t, "task", Task{
		Session: "session-1", Token: 7, Accelerators: []int{1, 3}, State: TaskLapsed, Progress: time.Minute,
	})
	goldentest.JSON(t, "task-spec", TaskSpec{
		Worker: "worker-1", Session: "session-1", Token: 7, Accelerators: []int{1, 3}, Lease: 5 * time.Second,
		Work: time.Hour, Checkpoint: time.Minute,
	})
	goldentest.JSON(t, "task-states", []TaskState{TaskRunning, TaskFinished, TaskLapsed})
	goldentest.JSON(t, "checkpoint-answer", CheckpointAnswer{Progress: time.Minute})
}

// TestGoldenErrors: these errors cross the wire by their text, and the client knows them again.
func TestGoldenErrors(t *testing.T) {
	var texts []string
	for _, err := range sentinels {
		texts = append(texts, err.Error())
	}
	goldentest.JSON(t, "errors", texts)
	if len(texts) != 5 {
		t.Errorf("%d errors cross the wire, want 5", len(texts))
	}
}
