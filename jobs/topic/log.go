// Package topic is the client of a keyed topic in an append-only log service. Only the newest
// record of each key is significant.
//
// Log is the service, as the platform's adapter provides it. A Tail follows a topic and reports
// when its reader was last in sync. A RelayServer serves what a Tail has read to other processes,
// and a RelayClient reads from relay servers instead of the log, so that not every process reads
// the log.
//
// The package defines the intervals of reads, their retries and the buffer of a relay server. It
// relies on Log returning records in the order of their offsets, without gaps. The steps of its log
// lines begin with "jobstore", as do those of package directory.
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

// StoredRecord is a record with its offset in the topic.
type StoredRecord struct {
	Record
	Offset int64
}

// Batch is the result of a read.
type Batch struct {
	Records []StoredRecord
	// End is the offset of the next record to be written.
	End int64
	// Staleness is how long before the read was sent the topic was known to end at End. It is zero
	// for a read of the log itself.
	Staleness time.Duration
	// Unreadable holds an error for each record that could not be read. If its key could be read,
	// the record is in Records with the value CorruptValue.
	Unreadable []error
}

// CorruptValue replaces a value that could not be read. No decoder of a stored form accepts it.
var CorruptValue = []byte{0xff}

// Producer identifies a writer, so that the log drops its duplicate appends and fences off its
// predecessors.
type Producer struct {
	Name string
	// Epoch is the writer's term. The log rejects appends of an older term.
	Epoch int64
	// Sequence numbers the appends of a term, from 0.
	Sequence int64
}

// Condition is the precondition of an append.
type Condition struct {
	// ExpectedEnd is the offset at which the topic must end, if CheckEnd is set.
	ExpectedEnd int64
	CheckEnd    bool
	// Producer is nil for a writer whose records may be appended twice.
	Producer *Producer
}

// Query selects what to read.
type Query struct {
	// From is the offset of the first record.
	From int64
	// Wait is how long the log may hold the read until there is a record.
	Wait time.Duration
	// Probe requests at most one record, to check whether the log responds.
	Probe bool
}

// Log is a topic of the log service.
type Log interface {
	// Append adds all records or none, and returns the offset of the first.
	Append(ctx context.Context, records []Record, c Condition) (int64, error)
	// Read returns the records from an offset on, and waits for the first if there is none.
	Read(ctx context.Context, q Query) (Batch, error)
	// Newest returns the newest record of each key. It may include records from End on.
	Newest(ctx context.Context) (Batch, error)
}

// Errors of a Log. After any other error an append may have been applied, or may still be.
var (
	// ErrRejected means that the log has rejected the call.
	ErrRejected = errors.New("the log refused; nothing was done")
	// ErrConflict means that the topic doesn't end where the condition requires.
	ErrConflict = errors.New("the topic does not end at the expected offset; nothing was done")
	// ErrFenced means that a writer of a later term has appended.
	ErrFenced = errors.New("a later term has begun; nothing was done")
	// ErrExpired means that the log no longer has the records from the offset on.
	ErrExpired = errors.New("records from this offset on have expired")
)

// NotApplied reports whether err means that an append was not applied and never will be.
func NotApplied(err error) bool {
	return errors.Is(err, ErrRejected) || errors.Is(err, ErrConflict) || errors.Is(err, ErrFenced)
}
