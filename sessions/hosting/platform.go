// Package hosting describes what yarrowgrade asks of the platform it runs on: an append-only
// log, a list of boxes, and workers that run tasks under leases.
//
// The interfaces are small on purpose. The users' real services, or their bench, are met by one
// more implementation of them. Two exist: Client, which speaks HTTP with JSON, and the
// in-memory stand-in of package standin.
//
// # Usage
//
//	p := hosting.NewClient("http://127.0.0.1:7400", http.DefaultClient)
//	offset, err := p.Append(ctx, hosting.LedgerStream, data)
//
// An error of Append does not say that the record was not appended: its answer may have been
// lost after the effect.
package hosting

import (
	"context"
	"errors"
	"time"
)

// Names of the log's streams that yarrowgrade writes.
const (
	LedgerStream   = "ledger"
	SnapshotStream = "snapshot"
)

// Errors that callers tell apart. All others mean that the platform did not answer in a usable way.
var (
	// ErrExpired says that records before the oldest one kept were asked for.
	ErrExpired = errors.New("records at this offset have expired")
	// ErrFenced says that a worker has seen a newer token than the one given.
	ErrFenced = errors.New("the token is older than one that the worker has seen")
	// ErrNoTask says that a worker runs no task with the token given.
	ErrNoTask = errors.New("no such task")
	// ErrGone says that the worker is no longer part of the platform.
	ErrGone = errors.New("the worker is gone")
	// ErrBusy says that another task still holds one of the accelerators asked for.
	ErrBusy = errors.New("an accelerator is held by another task")
)

// Record is one record of a stream.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is what one read of a stream returned.
type Batch struct {
	Records []Record `json:"records"`
	// Oldest is the offset of the oldest record kept, or that of the next one if none is kept.
	Oldest int64 `json:"oldest"`
	// Next is the offset that the next append will get. Offsets start at 1.
	Next int64 `json:"next"`
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds a record and returns its offset. After an error the record may still be there.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns at most limit records from offset on, or from the oldest one kept if offset
	// is zero. With none to return it waits up to wait for the first. It returns ErrExpired if
	// the offset is no longer kept.
	Read(ctx context.Context, stream string, offset int64, limit int, wait time.Duration) (Batch, error)
}

// BoxState says whether a box is live or leaving. The platform's word lags.
type BoxState string

// The states of a box.
const (
	BoxLive    BoxState = "live"
	BoxLeaving BoxState = "leaving"
)

// BoxRole says what a box is for.
type BoxRole string

// The roles of a box.
const (
	EntryBox  BoxRole = "entry"
	TargetBox BoxRole = "target"
)

// Box is one line of the platform's list of boxes.
type Box struct {
	Name  string   `json:"name"`
	Role  BoxRole  `json:"role"`
	State BoxState `json:"state"`
	// Address is the base URL of the system's process on the box.
	Address string `json:"address"`
}

// Boxes is the platform's list of live and leaving boxes. It lags.
type Boxes interface {
	Boxes(ctx context.Context) ([]Box, error)
}

// TaskState is the state of a task on a worker.
type TaskState string

// The states of a task. A lapsed task was stopped by the worker because its lease ran out.
const (
	TaskRunning  TaskState = "running"
	TaskFinished TaskState = "finished"
	TaskLapsed   TaskState = "lapsed"
)

// Task is a task that a worker runs or ran.
type Task struct {
	Session string `json:"session"`
	// Token is the fencing token of the placement.
	Token        int64     `json:"token"`
	Accelerators []int     `json:"accelerators"`
	State        TaskState `json:"state"`
	// Progress is the work done, checkpoint included.
	Progress time.Duration `json:"progress_ns"`
}

// TaskSpec asks a worker for a task.
type TaskSpec struct {
	Worker       string `json:"worker"`
	Session      string `json:"session"`
	Token        int64  `json:"token"`
	Accelerators []int  `json:"accelerators"`
	// Lease is how long the task runs without a renewal.
	Lease time.Duration `json:"lease_ns"`
	// Work is how long the whole session runs; zero runs until it is stopped.
	Work time.Duration `json:"work_ns"`
	// Checkpoint is the progress from which to go on.
	Checkpoint time.Duration `json:"checkpoint_ns"`
}

// Workers are the platform's machines.
type Workers interface {
	// StartTask starts a task. A worker refuses a token older than the newest that it has seen
	// for one of the accelerators, and an accelerator that a live task holds.
	StartTask(ctx context.Context, spec TaskSpec) error
	// RenewTask extends the task's lease to the given time from now.
	RenewTask(ctx context.Context, worker string, token int64, lease time.Duration) error
	// CheckpointTask saves the task's work and returns the progress that the checkpoint holds.
	CheckpointTask(ctx context.Context, worker string, token int64) (time.Duration, error)
	// StopTask stops the task if it runs, and makes sure that the token can start none later.
	StopTask(ctx context.Context, worker string, token int64) error
	// Tasks lists the tasks that the worker knows.
	Tasks(ctx context.Context, worker string) ([]Task, error)
	// GoneWorkers lists the workers that the platform has declared gone for good: their tasks
	// are over.
	GoneWorkers(ctx context.Context) ([]string, error)
}

// Platform is all of it.
type Platform interface {
	Log
	Boxes
	Workers
}
