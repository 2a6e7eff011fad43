// Package topic is a keyed topic of a log that others run, as its readers and writers meet it.
//
// The newest record of each key counts. A Tail follows the topic and says how old its proof is that nothing newer exists; a Relay takes
// news from other processes that read the same topic, from their Source.
//
// # Usage
//
//	tail := topic.NewTail(log, "jobs", wait, logger)
//	tail.Run(ctx, func(n topic.News) { ... })
package topic

import (
	"context"
	"errors"
	"time"
)

// Record is a key with its value. No value drops the key.
type Record struct {
	Key   string
	Value []byte
}

// Stored is a record with its place in the topic.
type Stored struct {
	Record
	Offset int64
}

// Batch is what a read returned.
type Batch struct {
	Records []Stored
	// End is the offset that the next record will get.
	End int64
	// Staleness is how long before the read was sent it was known that there is nothing after End; zero for a read of the log itself.
	Staleness time.Duration
	// Unreadable says which records could not be read. Where the key could be, the record is among the others with the value Garbled: that there
	// is one must not be forgotten.
	Unreadable []error
}

// CorruptValue stands for a value that could not be read. No value of ours can be decoded from it.
var CorruptValue = []byte{0xff}

// Producer lets the log drop the doubles of a writer and shut out its predecessors.
type Producer struct {
	Name string
	// Epoch is the writer's term. Sequence numbers the calls of a term from 0.
	Epoch    int64
	Sequence int64
}

// Condition says when an append counts.
type Condition struct {
	// At is the end that the topic must have, if Exact is set.
	At    int64
	Exact bool
	// Producer is nil for a writer whose records may come twice.
	Producer *Producer
}

// Query is what a read asks for.
type Query struct {
	// From is the offset of the first record. Wait is how long the answer may wait for it.
	From int64
	Wait time.Duration
	// Probe asks for no more than a record: for finding out whether the log answers.
	Probe bool
}

// Log is the topic as the log's service offers it.
type Log interface {
	// Append adds the records, all or none, and returns the offset of the first.
	Append(ctx context.Context, records []Record, c Condition) (int64, error)
	// Read returns records from an offset on; with none there it waits for the first.
	Read(ctx context.Context, q Query) (Batch, error)
	// Newest returns the newest record of each key. Records from End on may be missing or be there already.
	Newest(ctx context.Context) (Batch, error)
}

// Errors that callers tell apart. After any other error an append may have been done, or may still be done.
var (
	// ErrRejected says that the log did nothing.
	ErrRejected = errors.New("the log refused; nothing was done")
	// ErrConflict says that the topic does not end where the condition wants it.
	ErrConflict = errors.New("the topic ends elsewhere; nothing was done")
	// ErrFenced says that a writer of a later term has written.
	ErrFenced = errors.New("a later term has begun; nothing was done")
	// ErrExpired says that records from the offset on are gone.
	ErrExpired = errors.New("records from this offset on are gone")
)

// NotApplied reports whether err says that an append was not done and never will be.
func NotApplied(err error) bool {
	return errors.Is(err, ErrRejected) || errors.Is(err, ErrConflict) || errors.Is(err, ErrFenced)
}
