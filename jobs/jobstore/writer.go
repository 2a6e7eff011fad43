package jobstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/internal/hedge"
	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// RecordsPath is where an entry keeps a record for another one that does not reach the log.
const RecordsPath = "/internal/records"

// Times of keeping a record.
const (
	// keepLimit bounds one try. The next way is tried beside it as soon as the log's answers usually come: the same record
	// twice is harmless.
	keepLimit = 2 * time.Second
	keepPause = 150 * time.Millisecond
	// lookAgain is the pause between two looks at an entry that was not there. Callers do not wait for these looks: one whose box is gone
	// for good would hold each of their calls up for the time that it takes to connect.
	lookAgain   = time.Second
	lookTimeout = 500 * time.Millisecond
	// mostAsked is how many other entries are asked to keep a record. A store that turns some entries away turns away a third of them on the users'
	// sites, so that one in 250 calls finds no way though there is one; when it is away for all, a refusal takes five answers and not one of
	// each entry: with 54 others it came after 1.5 s, half of a caller's time.
	mostAsked = 5
	// keepProof is how old the last answer of the log may be so that a record is sent there. A log that has been silent
	// for longer would leave it uncertain whether the record is kept.
	keepProof = 1200 * time.Millisecond
)

// Writer keeps callers' records, submissions and cancels, by this entry's own way to the log or by another entry's. Each
// such record may be kept twice without harm, so a try without an answer is followed by another one.
type Writer struct {
	log     topic.Log
	latency *hedge.Latency
	replica *Replica
	// peers returns the addresses of all entries; self is this one's.
	peers  func() []string
	self   string
	client *http.Client
	logger zerolog.Logger

	// turn counts the records for which others were asked.
	turn atomic.Int64

	mu sync.Mutex
	// unreached holds the entries that were found not to be there, and when they were last looked at.
	unreached map[string]time.Time
}

// NewWriter returns a writer. The latency is that of the log's appends, as all of this process learn it.
func NewWriter(log topic.Log, latency *hedge.Latency, replica *Replica, peers func() []string, self string, client *http.Client, logger zerolog.Logger) *Writer {
	return &Writer{log: log, latency: latency, replica: replica, peers: peers, self: self, client: client, logger: logger, unreached: map[string]time.Time{}}
}

// kept is the answer to RecordsPath.
type kept struct {
	Offset int64 `json:"offset"`
}

// try is one way to keep the record.
type try func(ctx context.Context) (offset int64, err error)

// Write keeps a record. An error for which NotDone holds says that it is not kept and never will be; after any other one it
// may be, or may still come to be.
func (wr *Writer) Write(ctx context.Context, record topic.Record) error {
	doubt := false
	for {
		offset, err := wr.round(ctx, wr.tries(record))
		if err == nil {
			wr.replica.ApplyLocal([]topic.Record{record}, offset)
			return nil
		}
		doubt = doubt || !topic.NotApplied(err)
		if !doubt {
			return err
		}
		pause.For(ctx, keepPause)
		if ctx.Err() != nil {
			return fmt.Errorf("jobstore.Write: uncertain: %w", context.Cause(ctx))
		}
	}
}

// tries lists the ways, this entry's own one first if the log has answered lately.
func (wr *Writer) tries(record topic.Record) []try {
	var tries []try
	if wr.reachesLog() {
		tries = append(tries, func(ctx context.Context) (int64, error) { return wr.append(ctx, record) })
	}
	for _, address := range wr.asked() {
		tries = append(tries, func(ctx context.Context) (int64, error) { return wr.ask(ctx, address, record) })
	}
	return tries
}

// asked lists the other entries that are asked for one record: a few, spread over all that are there, and others each time.
func (wr *Writer) asked() []string {
	var there []string
	for _, address := range wr.peers() {
		if address != wr.self && !wr.isAway(address) {
			there = append(there, address)
		}
	}
	if len(there) <= mostAsked {
		return there
	}
	turn := int(wr.turn.Add(1))
	asked := make([]string, mostAsked)
	for i := range asked {
		asked[i] = there[(turn+i*len(there)/mostAsked)%len(there)]
	}
	return asked
}

// isAway reports whether an entry was found not to be there, and has not been found since: asking it would only take time.
func (wr *Writer) isAway(address string) bool {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	looked, away := wr.unreached[address]
	if away && time.Since(looked) > lookAgain {
		wr.unreached[address] = time.Now()
		go wr.look(address)
	}
	return away
}

// look looks whether an entry is there again.
func (wr *Writer) look(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
	defer cancel()
	var none struct{}
	err := jsonhttp.Call(ctx, wr.client, "jobstore.look", http.MethodGet, "http://"+address, RecordsPath, nil, &none)
	if fault.NotReached(err) || ctx.Err() != nil {
		return
	}
	wr.mu.Lock()
	defer wr.mu.Unlock()
	delete(wr.unreached, address)
	wr.logger.Info().Str("step", "jobstore.look").Str("entry", address).Msg("entry is there again")
}

// reachesLog reports whether the log has answered lately and does not turn this entry away. What is sent to a log that resets each call
// stays uncertain until its caller has left: a caller who is refused at once can come back.
func (wr *Writer) reachesLog() bool {
	proof := wr.replica.SyncedAt()
	return !proof.IsZero() && time.Since(proof) < keepProof && !wr.replica.Rejected()
}

// append keeps a record by this entry's own way.
func (wr *Writer) append(ctx context.Context, record topic.Record) (int64, error) {
	sent := time.Now()
	offset, err := wr.log.Append(ctx, []topic.Record{record}, topic.Condition{})
	if err == nil {
		wr.latency.Observe(time.Since(sent))
	} else {
		// Whether that was one call or all of them is seen by a read.
		wr.replica.ReadNow()
	}
	return offset, err
}

// round tries the ways one after the other, the next one as soon as one has failed or takes long, until one succeeds.
func (wr *Writer) round(ctx context.Context, tries []try) (int64, error) {
	if len(tries) == 0 {
		return 0, fmt.Errorf("%w: no way to the log", topic.ErrRejected)
	}
	calls := hedge.Call[int64]{
		Attempt:     func(ctx context.Context, n int) (int64, error) { return tries[n](ctx) },
		HedgeAfter:  wr.latency.HedgeDelay,
		Timeout:     keepLimit,
		MaxAttempts: len(tries),
		MergeErrors: moreDoubtful,
	}
	return calls.Do(ctx)
}

// moreDoubtful is the one of two errors after which more is uncertain.
func moreDoubtful(earlier, later error) error {
	if topic.NotApplied(earlier) {
		return later
	}
	return earlier
}

// ask has another entry keep the record.
func (wr *Writer) ask(ctx context.Context, address string, record topic.Record) (int64, error) {
	var answer kept
	err := jsonhttp.Call(ctx, wr.client, "jobstore.ask", http.MethodPost, "http://"+address, RecordsPath, record, &answer)
	if fault.NotReached(err) {
		if ctx.Err() == nil {
			wr.mu.Lock()
			wr.unreached[address] = time.Now()
			wr.mu.Unlock()
		}
		return 0, fmt.Errorf("%w: %w", topic.ErrRejected, err)
	}
	var status *jsonhttp.StatusError
	if errors.As(err, &status) && status.Status == http.StatusServiceUnavailable {
		return 0, fmt.Errorf("%w: %w", topic.ErrRejected, err)
	}
	return answer.Offset, err
}

// ServeWrite keeps a record for another entry. 503 says that it is not kept, 504 that this is uncertain.
func (wr *Writer) ServeWrite(w http.ResponseWriter, r *http.Request) {
	var record topic.Record
	if err := jsonhttp.Read(w, r, &record); err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	if !strings.HasPrefix(record.Key, submissionPrefix) && !strings.HasPrefix(record.Key, cancelPrefix) {
		jsonhttp.WriteError(w, &jsonhttp.StatusError{Status: http.StatusBadRequest, Message: "want a caller's record", Field: "Key"})
		return
	}
	if !wr.reachesLog() {
		jsonhttp.WriteError(w, topic.ErrRejected)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), keepLimit)
	defer cancel()
	offset, err := wr.append(ctx, record)
	if err != nil {
		code := http.StatusGatewayTimeout
		if topic.NotApplied(err) {
			code = http.StatusServiceUnavailable
		}
		jsonhttp.WriteError(w, &jsonhttp.StatusError{Status: code, Message: err.Error()})
		return
	}
	wr.replica.ApplyLocal([]topic.Record{record}, offset)
	wr.logger.Info().Str("step", "jobstore.write").Str("key", record.Key).Int64("offset", offset).Msg("record is kept for another entry")
	jsonhttp.Write(w, http.StatusOK, kept{Offset: offset})
}
