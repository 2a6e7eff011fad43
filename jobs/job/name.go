package job

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskName identifies a task by its job, round, step and index.
type TaskName struct {
	Job   ID
	Round int
	Step  int
	Index int
}

// String returns the form that is used by workers and in logs.
func (t TaskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Round, t.Step, t.Index)
}

// MarshalText implements encoding.TextMarshaler.
func (t TaskName) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *TaskName) UnmarshalText(text []byte) error {
	parsed, err := ParseTaskName(string(text))
	if err == nil {
		*t = parsed
	}
	return err
}

// ParseTaskName is the inverse of String.
func ParseTaskName(text string) (TaskName, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskName{}, fmt.Errorf("job.ParseTaskName: %q has %d parts, want 4", text, len(parts))
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return TaskName{}, fmt.Errorf("job.ParseTaskName: %q is not a non-negative integer", p)
		}
		numbers[i] = n
	}
	return TaskName{Job: ID(parts[0]), Round: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}
