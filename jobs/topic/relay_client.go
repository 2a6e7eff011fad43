package topic

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/internal/sample"
	"yarrowgrade.example/yarrowgrade/internal/suspend"
)

// Bounds of news that one process hands on to another.
const (
	// relayHold is how long a question for news is held. With a reader's own wait of 0.5 s the proof at the asker is at most 1.5 s old.
	relayHold = 400 * time.Millisecond
	// relayGrace is how much longer the asker waits for an answer before it reads the topic itself.
	relayGrace = 200 * time.Millisecond
	// oldestRelayed is the oldest proof that is taken from another process: a reader that has lost its way to the log is not relied on.
	oldestRelayed = 1200 * time.Millisecond
	// relayRest is how long a process that failed to hand news on is not asked again.
	relayRest = 5 * time.Second
	// mostRelayed is how many of the newest records are kept to hand on. Whoever is further behind reads the topic.
	mostRelayed = 32
)

// RelayResponse is what a process that reads a topic hands on: the records from an offset on, up to which one there is nothing else, and when that was proved.
type RelayResponse struct {
	Records []Stored `json:"records,omitempty"`
	End     int64    `json:"end"`
	// AgeMillis is how old the proof was when the answer was given, rounded up, and HeldMillis how long the question had been held by then.
	AgeMillis  int64 `json:"age_ms"`
	HeldMillis int64 `json:"held_ms"`
}

// RelayServer keeps what a tail has read last, for handing it on.
type RelayServer struct {
	clock suspend.Clock

	mu      sync.Mutex
	kept    []Stored
	next    int64
	proof   suspend.Instant
	changed chan struct{}
}

// NewRelayServer returns a source that has nothing. The clock counts for how long the machine was suspended.
func NewRelayServer(clock suspend.Clock) *RelayServer {
	return &RelayServer{clock: clock, changed: make(chan struct{})}
}

// Publish takes over what a tail has read.
func (s *RelayServer) Publish(n Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Snapshot {
		// These are the newest of each key and not what was written one after the other.
		s.kept = nil
	} else {
		s.kept = append(s.kept, n.Records...)
		s.kept = slices.Clone(s.kept[max(len(s.kept)-mostRelayed, 0):])
	}
	s.next = n.Next
	if !n.SyncedAt.IsZero() {
		s.proof = n.SyncedAt
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// errNotKept says that a source does not have what it is asked for.
var errNotKept = errors.New("not kept here")

// after returns what there is from an offset on, and a channel that is closed at the next news.
func (s *RelayServer) after(from int64) (RelayResponse, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.next - int64(len(s.kept))
	if s.proof.IsZero() || from < first || from > s.next {
		return RelayResponse{}, s.changed, errNotKept
	}
	return RelayResponse{Records: s.kept[from-first:], End: s.next, AgeMillis: s.clock.Since(s.proof).Milliseconds() + 1}, s.changed, nil
}

// ServeHTTP answers GET ?from=OFFSET with Relayed, as soon as there are records, or after relayHold.
func (s *RelayServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		jsonhttp.WriteError(w, fault.BadField("from", "want an offset, got %q", r.URL.Query().Get("from")))
		return
	}
	hold := time.NewTimer(relayHold)
	defer hold.Stop()
	for held := true; ; {
		answer, changed, err := s.after(from)
		if err != nil {
			jsonhttp.WriteError(w, &jsonhttp.StatusError{Status: http.StatusNotFound, Message: err.Error()})
			return
		}
		if len(answer.Records) > 0 || !held {
			answer.HeldMillis = time.Since(began).Milliseconds()
			jsonhttp.Write(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-hold.C:
			held = false
		case <-r.Context().Done():
			return
		}
	}
}

// RelayClient is a log whose news are asked from other processes that read it, as long as these have them. All else goes to the log, and so do news when nobody can be
// asked, the one that was asked gives no answer, or its proof is too old. So what M processes read is read by a few from the log.
type RelayClient struct {
	Log
	path   string
	client *http.Client
	// sources returns the addresses of those that can be asked: none if this process is to read the log itself.
	sources func() []string
	logger  zerolog.Logger

	mu sync.Mutex
	// resting holds sources that have failed, and when.
	resting map[string]time.Time
}

var _ Log = (*RelayClient)(nil)

// NewRelayClient returns a log that asks sources at their path.
func NewRelayClient(log Log, path string, client *http.Client, sources func() []string, logger zerolog.Logger) *RelayClient {
	return &RelayClient{Log: log, path: path, client: client, sources: sources, logger: logger, resting: map[string]time.Time{}}
}

// Read implements Log.
func (r *RelayClient) Read(ctx context.Context, q Query) (Batch, error) {
	if q.Wait == 0 || q.Probe {
		return r.Log.Read(ctx, q)
	}
	sources := sample.Draw(slices.DeleteFunc(slices.Clone(r.sources()), r.rests), 1)
	if len(sources) == 0 {
		return r.Log.Read(ctx, q)
	}
	batch, err := r.ask(ctx, sources[0], q.From)
	if err == nil || ctx.Err() != nil {
		return batch, err
	}
	r.logger.Warn().Str("step", "jobstore.relay").Str("source", sources[0]).Err(err).Msg("news are not handed on; the log is read instead")
	r.mu.Lock()
	r.resting[sources[0]] = time.Now()
	r.mu.Unlock()
	// The proof has aged while the source was asked, so this read waits for nothing.
	return r.Log.Read(ctx, Query{From: q.From})
}

// rests reports whether a source failed a short while ago.
func (r *RelayClient) rests(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, failed := r.resting[address]
	if failed && time.Since(at) > relayRest {
		delete(r.resting, address)
		return false
	}
	return failed
}

// ask asks a source for news.
func (r *RelayClient) ask(ctx context.Context, address string, from int64) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, relayHold+relayGrace)
	defer cancel()
	var a RelayResponse
	path := fmt.Sprintf("%s?from=%d", r.path, from)
	if err := jsonhttp.Call(ctx, r.client, "jobstore.relay", http.MethodGet, "http://"+address, path, nil, &a); err != nil {
		return Batch{}, err
	}
	// The answer was given no sooner than its question had been held, so the proof is at least that young.
	age := time.Duration(a.AgeMillis-a.HeldMillis) * time.Millisecond
	if age > oldestRelayed || a.End != from+int64(len(a.Records)) {
		return Batch{}, fault.New("jobstore.relay", address, fmt.Errorf("%w: %d records up to %d, proved %v before", errNotKept, len(a.Records), a.End, age))
	}
	for i, s := range a.Records {
		if s.Offset != from+int64(i) {
			return Batch{}, fault.New("jobstore.relay", address, fmt.Errorf("record %d stands at %d", i, s.Offset))
		}
	}
	return Batch{Records: a.Records, End: a.End, Staleness: max(age, 0)}, nil
}
