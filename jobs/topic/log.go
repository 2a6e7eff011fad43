// Package topic is the client side of a keyed topic in an append-only log service, of which the
// newest record of each key counts.
//
// Log is the service as the platform's adapter provides it. A Tail follows a topic and reports up
// to when its reader is in sync. A RelayServer passes on what a Tail has read, and a RelayClient
// reads from relay servers of other processes instead of the log, so that the log isn't read by
// every process.
//
// The package owns the pace of reads, their retries and the buffer of a relay server. It relies on
// Log returning records in the order of their offsets, without gaps. The steps of its log lines
// begin with "jobstore", as do those of package directory.
//
// # Usage
//
//	tail := topic.NewTail(log, "jobs", 300*time.Millisecond, logger)
//	go tail.Run(ctx, func(u topic.Update) { ... })
package topic

import (
	"context"
	"errors"
	"time"
)

// Record is a key with its value. A nil value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// Stored is a record with its offset in the topic.
type Stored struct {
	Record
	Offset int64
}

// Batch is the result of a read.
type Batch struct {
	Records []Stored
	// End is the offset of the next record to be written.
	End int64
	// Staleness is how long before the read was sent the topic was known to end at End; zero for a
	// read of the log itself.
	Staleness time.Duration
	// Unreadable holds an error for each record that could not be read. If at least its key could
	// be, the record is in Records with the value CorruptValue.
	Unreadable []error
}

// CorruptValue stands for a value that could not be read. No decoder of a stored form accepts it.
var CorruptValue = []byte{0xff}

// Producer lets the log drop duplicate appends of a writer and fence off its predecessors.
type Producer struct {
	Name string
	// Epoch is the writer's term; the log rejects appends of an older one.
	Epoch int64
	// Sequence numbers the appends of a term, from 0.
	Sequence int64
}

// Condition is what an append depends on.
type Condition struct {
	// At is the offset at which the topic must end, if Exact is set.
	At    int64
	Exact bool
	// Producer is nil for a writer whose records may be appended twice.
	Producer *Producer
}

// Query selects what to read.
type Query struct {
	// From is the offset of the first record.
	From int64
	// Wait is how long the log may hold the read until there is a record.
	Wait time.Duration
	// Probe asks for at most one record, to find out whether the log answers.
	Probe bool
}

// Log is a topic of the log service.
type Log interface {
	// Append adds the records, all or none, and returns the offset of the first.
	Append(ctx context.Context, records []Record, c Condition) (int64, error)
	// Read returns the records from an offset on, and waits for the first if there is none.
	Read(ctx context.Context, q Query) (Batch, error)
	// Newest returns the newest record of each key. Records from End on may be included or not.
	Newest(ctx context.Context) (Batch, error)
}

// Errors of a Log. After any other error an append may have been applied, or may still be.
var (
	// ErrRejected means that the log has rejected the call.
	ErrRejected = errors.New("the log refused; nothing was done")
	// ErrConflict means that the topic doesn't end where the condition requires.
	ErrConflict = errors.New("the topic ends elsewhere; nothing was done")
	// ErrFenced means that a writer of a later term has written.
	ErrFenced = errors.New("a later term has begun; nothing was done")
	// ErrExpired means that the log no longer keeps records from the offset on.
	ErrExpired = errors.New("records from this offset on are gone")
)

// NotApplied reports whether err means that an append was not applied and never will be.
func NotApplied(err error) bool {
	return errors.Is(err, ErrRejected) || errors.Is(err, ErrConflict) || errors.Is(err, ErrFenced)
}
