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

// TestGoldenErrors checks the texts by which the client recognizes errors in responses.
func TestGoldenErrors(t *testing.T) {
	var texts []string
	for _, err := range wireErrors {
		texts = append(texts, err.Error())
	}
	goldentest.JSON(t, "errors", texts)
	if len(texts) != 5 {
		t.Errorf("the client recognizes %d errors, want 5", len(texts))
	}
}
