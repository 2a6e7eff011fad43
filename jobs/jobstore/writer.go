package jobstore

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/internal/hedge"
	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

const (
	// appendTimeout bounds one attempt to store a record.
	appendTimeout = 2 * time.Second
	// retryDelay is the delay between two rounds of attempts.
	retryDelay = 150 * time.Millisecond
	// maxSyncAge is the maximum time since the replica was last in sync at which a record is sent
	// to the log. If the log has been silent for longer, it would be uncertain whether the record
	// is stored.
	maxSyncAge = 1200 * time.Millisecond
)

// Writer stores callers' records, submissions and cancellations, through this entry's own
// connection to the log or through another entry. Storing such a record twice is harmless, so
// attempts without a response are hedged.
type Writer struct {
	log     topic.Log
	latency *hedge.Latency
	replica *Replica
	peers   *peers
	client  *http.Client
	logger  zerolog.Logger
	doubts  *doubts
}

// NewWriter returns a writer. The latency is the process's estimate for the log, addresses returns
// the addresses of all entries, and self is the address of this one.
func NewWriter(
	log topic.Log, latency *hedge.Latency, replica *Replica, addresses func() []string, self string,
	client *http.Client, logger zerolog.Logger,
) *Writer {
	return &Writer{
		log:     log,
		latency: latency,
		replica: replica,
		peers:   newPeers(addresses, self, client, logger),
		client:  client,
		logger:  logger,
		doubts:  newDoubts(),
	}
}

// InDoubt reports whether this entry has recently sent the submission of a job to the log, for its
// own caller or for another entry's, and doesn't know that it was not stored.
func (wr *Writer) InDoubt(id job.ID) bool { return wr.doubts.has(submissionPrefix + string(id)) }

// route is one way to store a record. It returns the record's offset.
type route func(ctx context.Context) (int64, error)

// Write stores a record. If topic.NotApplied holds for its error, the record is not stored and
// never will be. After any other error the record may be stored, or may be stored later.
func (wr *Writer) Write(ctx context.Context, record topic.Record) error {
	uncertain := false
	end := wr.doubts.begin(record.Key)
	defer func() { end(uncertain) }()
	for {
		offset, err := wr.tryRoutes(ctx, wr.routes(record))
		if err == nil {
			wr.replica.ApplyLocal([]topic.Record{record}, offset)
			uncertain = false
			return nil
		}
		uncertain = uncertain || !topic.NotApplied(err)
		if !uncertain {
			return err
		}
		pause.For(ctx, retryDelay)
		if ctx.Err() != nil {
			return fmt.Errorf("jobstore.Write: uncertain: %w", context.Cause(ctx))
		}
	}
}

// routes returns the routes for a record: this entry's own connection first, if the log is
// reachable, then a few peers.
func (wr *Writer) routes(record topic.Record) []route {
	var routes []route
	if wr.logReachable() {
		routes = append(routes, func(ctx context.Context) (int64, error) { return wr.append(ctx, record) })
	}
	for _, address := range wr.peers.choose() {
		routes = append(routes, func(ctx context.Context) (int64, error) { return wr.forward(ctx, address, record) })
	}
	return routes
}

// tryRoutes tries the routes in order, each as soon as the previous one has failed or is slow,
// until one succeeds.
func (wr *Writer) tryRoutes(ctx context.Context, routes []route) (int64, error) {
	if len(routes) == 0 {
		return 0, fmt.Errorf("%w: no route to the log", topic.ErrRejected)
	}
	call := hedge.Call[int64]{
		Attempt:     func(ctx context.Context, n int) (int64, error) { return routes[n](ctx) },
		HedgeAfter:  wr.latency.HedgeDelay,
		Timeout:     appendTimeout,
		MaxAttempts: len(routes),
		MergeErrors: preferUncertain,
	}
	return call.Do(ctx)
}

// preferUncertain merges the errors of two attempts: it returns one after which the record may be
// stored, if there is one.
func preferUncertain(earlier, later error) error {
	if topic.NotApplied(earlier) {
		return later
	}
	return earlier
}

// logReachable reports whether this entry may send a record to the log: the log has responded
// recently and doesn't reject this entry. Otherwise an immediate rejection serves the caller better
// than an uncertain result after its deadline.
func (wr *Writer) logReachable() bool {
	syncedAt := wr.replica.SyncedAt()
	return !syncedAt.IsZero() && time.Since(syncedAt) < maxSyncAge && !wr.replica.Rejected()
}

// append stores a record through this entry's own connection.
func (wr *Writer) append(ctx context.Context, record topic.Record) (int64, error) {
	sent := time.Now()
	offset, err := wr.log.Append(ctx, []topic.Record{record}, topic.Condition{})
	if err != nil {
		// The next read shows whether the log fails more than this one call.
		wr.replica.ReadNow()
		return offset, err
	}
	wr.latency.Observe(time.Since(sent))
	return offset, nil
}
