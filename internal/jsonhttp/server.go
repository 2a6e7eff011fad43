package jsonhttp

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
)

// MaxRequestBytes bounds one request: a body of 1 MiB, escaped, with its JSON around it.
const MaxRequestBytes = 7 << 20

// retryMillis is the retry delay of a failure that may pass.
const retryMillis = 1000

// ErrorBody is the body of an answer with a status of 400 or more.
type ErrorBody struct {
	Error string `json:"error"`
	// Field names the field of the request that is wrong, if one is.
	Field string `json:"field,omitempty"`
	// RetryAfterMillis is when a retry may help; zero if it won't.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// Read decodes the body of a request strictly. Its errors are *fault.Field.
func Read(w http.ResponseWriter, r *http.Request, out any) error {
	data, err := readBody(w, r)
	if err != nil {
		return err
	}
	return fault.Decode(data, out)
}

// readBody returns the body of a request. Its errors are *fault.Field.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxRequestBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.BadField("body", "want at most %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, fault.BadField("body", "was cut: %v", err)
	}
	return data, nil
}

// Write answers with a status and a JSON value.
func Write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has closed its connection, so there is nobody to report it to.
	_ = json.NewEncoder(w).Encode(value)
}

// WriteError answers with 400 for a *fault.Field, with the status of a *StatusError, and with 503
// for all others.
func WriteError(w http.ResponseWriter, err error) {
	var field *fault.Field
	var status *StatusError
	switch {
	case errors.As(err, &field):
		Write(w, http.StatusBadRequest, ErrorBody{Error: field.Reason, Field: field.Name})
	case errors.As(err, &status):
		Write(w, status.Status, ErrorBody{Error: status.Message, Field: status.Field})
	default:
		Write(w, http.StatusServiceUnavailable, ErrorBody{Error: err.Error(), RetryAfterMillis: retryMillis})
	}
}

// KeepAlive starts an answer with status 200 and sends a newline, which JSON decoders skip, every
// period until stop is called. After that the caller encodes the value to w.
//
// All answers of a process send their newlines at the same moments: waking up hundreds of
// goroutines one by one costs more processor time than writing does.
func KeepAlive(w http.ResponseWriter, period time.Duration) (stop func()) {
	w.Header().Set("Content-Type", "application/json")
	controller := http.NewResponseController(w)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			// A failed write ends the request's context, which the handler watches.
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
