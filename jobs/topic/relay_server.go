package topic

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/broadcast"
	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/internal/suspend"
)

// RelayServer serves the newest records that a tail has read to other processes.
type RelayServer struct {
	clock suspend.Clock

	mu sync.Mutex
	// buffer holds the newest records, without gaps; next is the offset after the last.
	buffer   []StoredRecord
	next     int64
	syncedAt suspend.Instant
	changed  broadcast.Signal
}

// NewRelayServer returns a server without records. The clock measures suspensions of the box.
func NewRelayServer(clock suspend.Clock) *RelayServer {
	return &RelayServer{clock: clock}
}

// Publish adds the records that a tail has read.
func (s *RelayServer) Publish(u Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.Snapshot {
		// The records of a snapshot have gaps between them.
		s.buffer = nil
	} else {
		s.buffer = append(s.buffer, u.Records...)
		s.buffer = slices.Clone(s.buffer[max(len(s.buffer)-maxRelayed, 0):])
	}
	s.next = u.Next
	if !u.SyncedAt.IsZero() {
		s.syncedAt = u.SyncedAt
	}
	s.changed.Notify()
}

// after returns the records from an offset on, and a channel that is closed at the next update.
func (s *RelayServer) after(from int64) (RelayResponse, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.next - int64(len(s.buffer))
	if s.syncedAt.IsZero() || from < first || from > s.next {
		return RelayResponse{}, nil, errNotBuffered
	}
	response := RelayResponse{
		Records:   s.buffer[from-first:],
		End:       s.next,
		AgeMillis: s.clock.Since(s.syncedAt).Milliseconds() + 1,
	}
	return response, s.changed.Next(), nil
}

// ServeHTTP responds to GET ?from=OFFSET with a RelayResponse, as soon as there are records or
// after relayWait. It responds with 404 if it doesn't have all records from the offset on.
func (s *RelayServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		jsonhttp.WriteError(w, fault.BadField("from", "want an offset, got %q", r.URL.Query().Get("from")))
		return
	}
	deadline := time.NewTimer(relayWait)
	defer deadline.Stop()
	for expired := false; ; {
		response, changed, err := s.after(from)
		if err != nil {
			jsonhttp.WriteError(w, &jsonhttp.StatusError{Status: http.StatusNotFound, Message: err.Error()})
			return
		}
		if len(response.Records) > 0 || expired {
			response.HeldMillis = time.Since(received).Milliseconds()
			jsonhttp.Write(w, http.StatusOK, response)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}
