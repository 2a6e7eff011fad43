// Package hosting defines what the sessions need from a platform: an append-only log, a list of
// boxes, and workers that run tasks under leases.
//
// There are two implementations: Client, which uses HTTP with JSON, and the in-memory platform of
// package standin. The package owns no state; the platform does.
//
// # Usage
//
//	p := hosting.NewClient("http://127.0.0.1:7400", http.DefaultClient)
//	offset, err := p.Append(ctx, hosting.LedgerStream, data)
//
// After an error of Append the record may have been appended, because only the answer may have been
// lost.
package hosting

import (
	"context"
	"errors"
	"time"
)

// Streams of the log that the sessions use.
const (
	LedgerStream   = "ledger"
	SnapshotStream = "snapshot"
)

// Errors that callers distinguish. Any other error means that the platform gave no usable answer.
var (
	// ErrExpired means that the log no longer has records at the offset.
	ErrExpired = errors.New("records at this offset have expired")
	// ErrFenced means that the worker has seen a newer token.
	ErrFenced = errors.New("the token is older than one that the worker has seen")
	// ErrNoTask means that the worker runs no task with the token.
	ErrNoTask = errors.New("no such task")
	// ErrGone means that the worker is no longer part of the platform.
	ErrGone = errors.New("the worker is gone")
	// ErrBusy means that another task still uses one of the accelerators.
	ErrBusy = errors.New("an accelerator is held by another task")
)

// Record is one record of a stream.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the result of one read of a stream.
type Batch struct {
	Records []Record `json:"records"`
	// Oldest is the offset of the oldest record kept, or Next if there is none.
	Oldest int64 `json:"oldest"`
	// Next is the offset of the next append. Offsets start at 1.
	Next int64 `json:"next"`
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds a record and returns its offset. After an error the record may have been added.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to limit records from the offset on, or from the oldest record if offset is
	// zero. If there are none, it waits up to wait for the next. It returns ErrExpired if the
	// record at the offset is no longer kept.
	Read(ctx context.Context, stream string, offset int64, limit int, wait time.Duration) (Batch, error)
}

// BoxState is the state of a box according to the platform, which may be out of date.
type BoxState string

// The states of a box.
const (
	BoxLive    BoxState = "live"
	BoxLeaving BoxState = "leaving"
)

// BoxRole is the purpose of a box.
type BoxRole string

// The roles of a box.
const (
	EntryBox  BoxRole = "entry"
	TargetBox BoxRole = "target"
)

// Box is an element of the platform's list of boxes.
type Box struct {
	Name  string   `json:"name"`
	Role  BoxRole  `json:"role"`
	State BoxState `json:"state"`
	// Address is the base URL of the entry or agent on the box.
	Address string `json:"address"`
}

// Boxes is the platform's list of live and leaving boxes, which may be out of date.
type Boxes interface {
	Boxes(ctx context.Context) ([]Box, error)
}

// TaskState is the state of a task on a worker.
type TaskState string

// The states of a task. A lapsed task was stopped by the worker because its lease ended.
const (
	TaskRunning  TaskState = "running"
	TaskFinished TaskState = "finished"
	TaskLapsed   TaskState = "lapsed"
)

// Task is a task that a worker runs or has run.
type Task struct {
	Session string `json:"session"`
	// Token is the fencing token of the placement.
	Token        int64     `json:"token"`
	Accelerators []int     `json:"accelerators"`
	State        TaskState `json:"state"`
	// Progress is the work done, including that of the checkpoint it started from.
	Progress time.Duration `json:"progress_ns"`
}

// TaskSpec describes a task to start.
type TaskSpec struct {
	Worker       string `json:"worker"`
	Session      string `json:"session"`
	Token        int64  `json:"token"`
	Accelerators []int  `json:"accelerators"`
	// Lease is how long the task runs without a renewal.
	Lease time.Duration `json:"lease_ns"`
	// Work is the run time of the whole session. With zero the task runs until it is stopped.
	Work time.Duration `json:"work_ns"`
	// Checkpoint is the progress to continue from.
	Checkpoint time.Duration `json:"checkpoint_ns"`
}

// Workers is the platform's control of tasks on its machines.
type Workers interface {
	// StartTask starts a task. It returns ErrFenced if the worker has seen a newer token for one of
	// the accelerators, and ErrBusy if a running task uses one.
	StartTask(ctx context.Context, spec TaskSpec) error
	// RenewTask sets the task's lease to end after the given time.
	RenewTask(ctx context.Context, worker string, token int64, lease time.Duration) error
	// CheckpointTask saves the task's work and returns the saved progress.
	CheckpointTask(ctx context.Context, worker string, token int64) (time.Duration, error)
	// StopTask stops the task if it runs, and prevents later starts with the token.
	StopTask(ctx context.Context, worker string, token int64) error
	// Tasks returns the tasks that the worker knows.
	Tasks(ctx context.Context, worker string) ([]Task, error)
	// GoneWorkers returns the workers that the platform has declared gone for good. Their tasks
	// have ended.
	GoneWorkers(ctx context.Context) ([]string, error)
}

// Platform combines all parts of the platform.
type Platform interface {
	Log
	Boxes
	Workers
}
