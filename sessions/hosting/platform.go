// Package hosting defines the interface of the platform that sessions run on: an append-only log, a
// list of boxes, and workers that run tasks under leases.
//
// There are two implementations: Client, which uses HTTP with JSON, and the in-memory platform of
// package standin. This package owns no state; all state is in the platform.
//
// # Usage
//
//	p := hosting.NewClient("http://127.0.0.1:7400", http.DefaultClient)
//	offset, err := p.Append(ctx, hosting.LedgerStream, data)
//
// After an error from Append the record may have been appended, because the error may only mean
// that the response was lost.
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

// Errors that callers distinguish. Any other error means that the platform returned no usable
// response.
var (
	// ErrRecordsExpired means that the log no longer keeps records at the offset.
	ErrRecordsExpired = errors.New("records at this offset have expired")
	// ErrFenced means that the worker has seen a newer token.
	ErrFenced = errors.New("the token is older than one that the worker has seen")
	// ErrNoTask means that the worker is running no task with the token.
	ErrNoTask = errors.New("no such task")
	// ErrWorkerGone means that the worker is no longer part of the platform.
	ErrWorkerGone = errors.New("the worker is gone")
	// ErrAcceleratorBusy means that another task still uses one of the accelerators.
	ErrAcceleratorBusy = errors.New("an accelerator is held by another task")
)

// Record is one record of a stream.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the result of one read of a stream.
type Batch struct {
	Records []Record `json:"records"`
	// Oldest is the offset of the oldest record that is kept, or Next if there is none.
	Oldest int64 `json:"oldest"`
	// Next is the offset of the next append. Offsets start at 1.
	Next int64 `json:"next"`
}

// Log is the platform's append-only log.
type Log interface {
	// Append appends a record and returns its offset. After an error the record may have been
	// appended.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to limit records, starting at offset or, if offset is zero, at the oldest
	// record. If there are none, it waits up to wait for the next one. It returns ErrRecordsExpired
	// if the record at offset is no longer kept.
	Read(ctx context.Context, stream string, offset int64, limit int, wait time.Duration) (Batch, error)
}

// BoxState is the state of a box as the platform reports it. It may be out of date.
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

// Box describes one box in the platform's list.
type Box struct {
	Name  string   `json:"name"`
	Role  BoxRole  `json:"role"`
	State BoxState `json:"state"`
	// Address is the base URL of the entry or agent on the box.
	Address string `json:"address"`
}

// Boxes provides the platform's list of live and leaving boxes, which may be out of date.
type Boxes interface {
	Boxes(ctx context.Context) ([]Box, error)
}

// TaskState is the state of a task on a worker.
type TaskState string

// The states of a task. A lapsed task is one that the worker stopped because its lease expired.
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
	// Progress is the completed work, including that of the checkpoint that the task started from.
	Progress time.Duration `json:"progress_ns"`
}

// TaskSpec describes a task to start.
type TaskSpec struct {
	Worker       string `json:"worker"`
	Session      string `json:"session"`
	Token        int64  `json:"token"`
	Accelerators []int  `json:"accelerators"`
	// Lease is how long the task may run without a renewal.
	Lease time.Duration `json:"lease_ns"`
	// Work is the total run time of the session. If it is zero, the task runs until it is stopped.
	Work time.Duration `json:"work_ns"`
	// Checkpoint is the progress to continue from.
	Checkpoint time.Duration `json:"checkpoint_ns"`
}

// Workers starts, renews and stops tasks on the workers of the platform.
type Workers interface {
	// StartTask starts a task. It returns ErrFenced if the worker has seen a newer token for one of
	// the accelerators, and ErrAcceleratorBusy if a running task uses one of them.
	StartTask(ctx context.Context, spec TaskSpec) error
	// RenewTask renews the task's lease, so that it expires after the given duration.
	RenewTask(ctx context.Context, worker string, token int64, lease time.Duration) error
	// CheckpointTask writes a checkpoint of the task and returns the saved progress.
	CheckpointTask(ctx context.Context, worker string, token int64) (time.Duration, error)
	// StopTask stops the task if it runs, and prevents later starts with the token.
	StopTask(ctx context.Context, worker string, token int64) error
	// Tasks returns the tasks that the worker knows, including finished and lapsed ones.
	Tasks(ctx context.Context, worker string) ([]Task, error)
	// GoneWorkers returns the workers that the platform has declared permanently gone. Their tasks
	// have ended.
	GoneWorkers(ctx context.Context) ([]string, error)
}

// Platform combines all interfaces of the platform.
type Platform interface {
	Log
	Boxes
	Workers
}
