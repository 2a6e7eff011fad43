package directory

import (
	"context"
	"errors"
	"strconv"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

const (
	// appendTimeout bounds one attempt to write to the directory.
	appendTimeout = time.Second
	// retryDelay is the delay after a failed attempt.
	retryDelay = 80 * time.Millisecond
	// minRegisterInterval is the shortest time between two registrations of an entry. It leaves
	// time for the registration to be read back.
	minRegisterInterval = 5 * time.Second
)

// KeepRegistered registers an entry, and again whenever it is missing from the directory: the
// leader deregisters entries that it can't reach, and this one may only have been cut off for a
// while.
func (d *Directory) KeepRegistered(ctx context.Context, log topic.Log, name, address string, cores float64) {
	for ctx.Err() == nil {
		RegisterEntry(ctx, log, name, address, cores)
		pause.For(ctx, minRegisterInterval)
		for changed := d.Changed(); ctx.Err() == nil && !d.lacks(name, address); changed = d.Changed() {
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
	}
}

// lacks reports whether the directory has been read and doesn't list an entry at that address.
func (d *Directory) lacks(name, address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.synced && d.addresses[name] != address
}

// RegisterEntry writes the address and the size of an entry to the directory, and retries until it
// succeeds or ctx ends. A size of zero cores means that it is unknown.
func RegisterEntry(ctx context.Context, log topic.Log, name, address string, cores float64) {
	records := []topic.Record{{Key: addressPrefix + name, Value: []byte(address)}}
	if cores > 0 {
		value := strconv.AppendFloat(nil, cores, 'g', -1, 64)
		records = append(records, topic.Record{Key: coresPrefix + name, Value: value})
	}
	appendUntilDone(ctx, log, records, topic.Condition{})
}

// DeregisterEntries removes entries from the directory.
func DeregisterEntries(ctx context.Context, log topic.Log, names []string) error {
	var records []topic.Record
	for _, name := range names {
		records = append(records, topic.Record{Key: addressPrefix + name}, topic.Record{Key: coresPrefix + name})
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := log.Append(ctx, records, topic.Condition{})
	return err
}

// AnnounceLeader writes to the directory who is the leader, and retries until it succeeds, a later
// term has been announced, or ctx ends.
func AnnounceLeader(ctx context.Context, log topic.Log, leader Leader) {
	record, err := LeaderRecord(leader)
	if err != nil {
		// A struct of numbers and strings can always be encoded.
		return
	}
	appendUntilDone(ctx, log, []topic.Record{record}, topic.Condition{Producer: TermProducer(leader.Term, 0)})
}

// appendUntilDone appends records and retries until they are stored or fenced off. Failed attempts
// are not logged here: topic.WithMetrics counts them, and the directory's tail logs when the log
// doesn't answer.
func appendUntilDone(ctx context.Context, log topic.Log, records []topic.Record, c topic.Condition) {
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := log.Append(attempt, records, c)
		cancel()
		if err == nil || errors.Is(err, topic.ErrFenced) {
			return
		}
		pause.For(ctx, retryDelay)
	}
}
