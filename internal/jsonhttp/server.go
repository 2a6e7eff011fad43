package jsonhttp

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
)

// MaxRequestBytes is the size limit of a request. It leaves room for a body of 1 MiB that is
// escaped and embedded in JSON.
const MaxRequestBytes = 7 << 20

// retryAfterMillis is the suggested retry delay after a temporary failure.
const retryAfterMillis = 1000

// ErrorBody is the body of a response with a status of 400 or above.
type ErrorBody struct {
	Error string `json:"error"`
	// Field is the invalid field of the request, if there is one.
	Field string `json:"field,omitempty"`
	// RetryAfterMillis is the delay after which the client may retry. It is zero if a retry would
	// not help.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// Read decodes the body of a request strictly. Its errors are of type *fault.Field.
func Read(w http.ResponseWriter, r *http.Request, out any) error {
	data, err := readBody(w, r)
	if err != nil {
		return err
	}
	return fault.Decode(data, out)
}

// readBody returns the body of a request. Its errors are of type *fault.Field.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxRequestBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.BadField("body", "want at most %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, fault.BadField("body", "was truncated: %v", err)
	}
	return data, nil
}

// Write writes a response with a status and a JSON value.
func Write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has closed its connection, so it can't be reported.
	_ = json.NewEncoder(w).Encode(value)
}

// WriteError writes an error response. Its status is 400 for a *fault.Field, the status of a
// *StatusError, and 503 for all other errors.
func WriteError(w http.ResponseWriter, err error) {
	var field *fault.Field
	var status *StatusError
	switch {
	case errors.As(err, &field):
		Write(w, http.StatusBadRequest, ErrorBody{Error: field.Reason, Field: field.Name})
	case errors.As(err, &status):
		Write(w, status.Status, ErrorBody{Error: status.Message, Field: status.Field})
	default:
		Write(w, http.StatusServiceUnavailable, ErrorBody{Error: err.Error(), RetryAfterMillis: retryAfterMillis})
	}
}

// KeepAlive starts a response with status 200 and sends a newline, which JSON decoders skip, in
// every period until stop is called. The caller then encodes the value to w.
//
// All responses of a process with the same period send their newlines at the same time, because
// waking hundreds of goroutines individually costs more CPU time than the writes themselves.
func KeepAlive(w http.ResponseWriter, period time.Duration) (stop func()) {
	w.Header().Set("Content-Type", "application/json")
	controller := http.NewResponseController(w)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			// A failed write ends the request's context, which the handler observes.
			_, _ = w.Write([]byte("\n"))
			_ = controller.Flush()
			timer := time.NewTimer(untilNext(period, time.Now()))
			select {
			case <-timer.C:
			case <-done:
				timer.Stop()
				return
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// untilNext returns the time from now to the next multiple of the period.
func untilNext(period time.Duration, now time.Time) time.Duration {
	return now.Truncate(period).Add(period).Sub(now)
}
