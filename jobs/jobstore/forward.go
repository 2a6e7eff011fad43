package jobstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// RecordsPath is the path at which an entry accepts records to store for other entries.
const RecordsPath = "/internal/records"

// appendResult is the response body for a record that was stored.
type appendResult struct {
	Offset int64 `json:"offset"`
}

// forward sends a record to another entry, which stores it.
func (wr *Writer) forward(ctx context.Context, address string, record topic.Record) (int64, error) {
	var result appendResult
	err := jsonhttp.Call(ctx, wr.client, "jobstore.ask", http.MethodPost, "http://"+address, RecordsPath, record, &result)
	if fault.IsNotSent(err) {
		if ctx.Err() == nil {
			wr.peers.markUnreachable(address)
		}
		return 0, fmt.Errorf("%w: %w", topic.ErrRejected, err)
	}
	var status *jsonhttp.StatusError
	if errors.As(err, &status) && status.Status == http.StatusServiceUnavailable {
		return 0, fmt.Errorf("%w: %w", topic.ErrRejected, err)
	}
	return result.Offset, err
}

// ServeWrite stores a record for another entry. It responds with 503 if the record is not stored
// and never will be, and with 504 if that is uncertain.
func (wr *Writer) ServeWrite(w http.ResponseWriter, r *http.Request) {
	var record topic.Record
	if err := jsonhttp.Read(w, r, &record); err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	if !isCallerKey(record.Key) {
		jsonhttp.WriteError(w, &jsonhttp.StatusError{
			Status:  http.StatusBadRequest,
			Message: "want the key of a submission or a cancellation",
			Field:   "Key",
		})
		return
	}
	if !wr.logReachable() {
		jsonhttp.WriteError(w, topic.ErrRejected)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), appendTimeout)
	defer cancel()
	end := wr.doubts.begin(record.Key)
	offset, err := wr.append(ctx, record)
	end(err != nil && !topic.NotApplied(err))
	if err != nil {
		jsonhttp.WriteError(w, appendStatus(err))
		return
	}
	wr.replica.ApplyLocal([]topic.Record{record}, offset)
	wr.logger.Info().Str("step", "jobstore.write").Str("key", record.Key).Int64("offset", offset).
		Msg("record is stored for another entry")
	jsonhttp.Write(w, http.StatusOK, appendResult{Offset: offset})
}

// appendStatus returns the HTTP error for a failed append.
func appendStatus(err error) *jsonhttp.StatusError {
	status := http.StatusGatewayTimeout
	if topic.NotApplied(err) {
		status = http.StatusServiceUnavailable
	}
	return &jsonhttp.StatusError{Status: status, Message: err.Error()}
}
