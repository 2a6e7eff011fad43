package directory

import (
	"context"
	"errors"
	"strconv"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// misses reports whether an entry is not listed, though the directory has been read.
func (d *Directory) misses(name, address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.read && d.entries[name] != address
}

// KeepRegistered says where an entry is reached and how much processor time it has, as AnnounceEntry does, and again when that is no longer listed: the leader
// takes entries off that it does not reach, and this one may only have been cut off.
func (d *Directory) KeepRegistered(ctx context.Context, log topic.Log, name, address string, cores float64) {
	for ctx.Err() == nil {
		RegisterEntry(ctx, log, name, address, cores)
		// What was read before the announcement says nothing.
		pause.For(ctx, announceAgain)
		for changed := d.Changed(); ctx.Err() == nil && !d.misses(name, address); changed = d.Changed() {
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
	}
}

// announceAgain is the least time between two announcements of an entry.
const announceAgain = 5 * time.Second

// DeregisterEntries takes entries off the directory.
func DeregisterEntries(ctx context.Context, log topic.Log, names []string) error {
	var records []topic.Record
	for _, name := range names {
		records = append(records, topic.Record{Key: entryPrefix + name}, topic.Record{Key: processorPrefix + name})
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	_, err := log.Append(ctx, records, topic.Condition{})
	return err
}

// RegisterEntry says where an entry is reached and how much processor time it has, in cores, and tries until that is kept. Zero cores
// are not told.
func RegisterEntry(ctx context.Context, log topic.Log, name, address string, cores float64) {
	records := []topic.Record{{Key: entryPrefix + name, Value: []byte(address)}}
	if cores > 0 {
		records = append(records, topic.Record{Key: processorPrefix + name, Value: strconv.AppendFloat(nil, cores, 'g', -1, 64)})
	}
	announce(ctx, log, records, topic.Condition{})
}

// AnnounceLeader says who is the leader, and tries until that is kept or a later term has been announced.
func AnnounceLeader(ctx context.Context, log topic.Log, o Leader) {
	record, err := LeaderRecord(o)
	if err == nil {
		announce(ctx, log, []topic.Record{record}, topic.Condition{Producer: TermProducer(o.Term, 0)})
	}
}

func announce(ctx context.Context, log topic.Log, records []topic.Record, c topic.Condition) {
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, announceTimeout)
		_, err := log.Append(attempt, records, c)
		cancel()
		if err == nil || errors.Is(err, topic.ErrFenced) {
			return
		}
		pause.For(ctx, retryPause)
	}
}

// retryPause is the pause after a failed announcement.
const retryPause = 80 * time.Millisecond

const announceTimeout = time.Second
