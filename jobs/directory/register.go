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
	// retryDelay is the delay between a failed attempt and the next one.
	retryDelay = 80 * time.Millisecond
	// minRegisterInterval is the shortest time between two registrations of an entry. It allows the
	// registration to be read back before the entry checks whether it is missing.
	minRegisterInterval = 5 * time.Second
	// minAnnounceInterval is the shortest time between two announcements of a leader. It allows the
	// announcement to be read back.
	minAnnounceInterval = 2 * time.Second
)

// KeepRegistered registers an entry, and registers it again whenever it is missing from the
// directory, until ctx ends. The leader deregisters entries that it can't reach, even if they are
// only temporarily disconnected.
func (d *Directory) KeepRegistered(ctx context.Context, log topic.Log, name, address string, cores float64) {
	for ctx.Err() == nil {
		RegisterEntry(ctx, log, name, address, cores)
		pause.For(ctx, minRegisterInterval)
		for changed := d.Changed(); ctx.Err() == nil && !d.isMissing(name, address); changed = d.Changed() {
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
	}
}

// isMissing reports whether the directory has been read completely and doesn't list the entry at
// the given address.
func (d *Directory) isMissing(name, address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.synced && d.addresses[name] != address
}

// RegisterEntry writes the address and size of an entry to the directory, and retries until it
// succeeds or ctx ends. A size of zero cores means that the size is unknown.
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

// KeepAnnounced announces the leader, and announces it again whenever the newest record names another
// one, until a later term has been announced or ctx ends. Another writer may have replaced the record.
func (d *Directory) KeepAnnounced(ctx context.Context, log topic.Log, leader Leader) {
	for sequence := int64(0); AnnounceLeader(ctx, log, leader, sequence); sequence++ {
		pause.For(ctx, minAnnounceInterval)
		for changed := d.Changed(); ctx.Err() == nil && d.isAnnounced(leader); changed = d.Changed() {
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
	}
}

// isAnnounced reports whether the newest record names the leader, or whether that is not known yet.
func (d *Directory) isAnnounced(leader Leader) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.synced || d.announced == leader
}

// AnnounceLeader writes the leader to the directory, and retries until it succeeds, a later term
// has been announced, or ctx ends. The announcements of a leader are numbered from 0. It reports
// whether the leader is announced.
func AnnounceLeader(ctx context.Context, log topic.Log, leader Leader, sequence int64) bool {
	record, err := LeaderRecord(leader)
	if err != nil {
		// Unreachable: encoding a struct of numbers and strings does not fail.
		return false
	}
	condition := topic.Condition{Producer: TermProducer(leader.Term, sequence)}
	return appendUntilDone(ctx, log, []topic.Record{record}, condition)
}

// appendUntilDone appends records, and retries until they are stored, the append is fenced, or ctx
// ends. It reports whether they are stored. It does not log failed attempts: topic.WithMetrics counts
// them, and the directory's tail logs when the log doesn't answer.
func appendUntilDone(ctx context.Context, log topic.Log, records []topic.Record, c topic.Condition) bool {
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := log.Append(attempt, records, c)
		cancel()
		if err == nil || errors.Is(err, topic.ErrFenced) {
			return err == nil
		}
		pause.For(ctx, retryDelay)
	}
	return false
}
