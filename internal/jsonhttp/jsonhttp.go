// Package jsonhttp carries JSON over HTTP between the system's own processes, and towards the platform and clients.
//
// # Usage
//
//	err := jsonhttp.Call(ctx, client, "entry.poll", http.MethodPost, address, "/internal/poll", body, &answer)
//
// On the other side:
//
//	if err := jsonhttp.Read(w, r, &in); err != nil { jsonhttp.WriteError(w, err); return }
//	jsonhttp.Write(w, http.StatusOK, out)
package jsonhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
)

// maxAnswerBytes bounds one answer. A batch of 256 log records of at most 64 KiB stays below it.
const maxAnswerBytes = 32 << 20

// MaxRequestBytes bounds one request: a body of 1 MiB, escaped, with its frame.
const MaxRequestBytes = 7 << 20

// ErrorBody is the body of every answer that is not a success.
type ErrorBody struct {
	Error string `json:"error"`
	// Field names the field of the request that is wrong, if one is.
	Field string `json:"field,omitempty"`
	// RetryAfterMillis is when to come back, if that may help.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// StatusError is an answer with a status of 400 or more.
type StatusError struct {
	Status  int
	Message string
	Field   string
}

// Error implements error.
func (e *StatusError) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("status %d: %s: %s", e.Status, e.Field, e.Message)
	}
	return fmt.Sprintf("status %d: %s", e.Status, e.Message)
}

// Call sends body to address+path and reads the answer into out. Both may be nil; a body of type []byte is sent as it
// is. Its errors are *fault.Error with the step and the address; an answer of 400 or more holds a *StatusError.
func Call(ctx context.Context, client *http.Client, step, method, address, path string, body, out any) error {
	return fault.New(step, address, call(ctx, client, method, address+path, body, out))
}

// CallIdle is Call for an answer that may take long and is kept alive meanwhile: it fails when nothing comes for idle.
func CallIdle(ctx context.Context, client *http.Client, idle time.Duration, step, method, address, path string, body, out any) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(idle, func() { cancel(errIdle) })
	defer timer.Stop()
	watched := *client
	watched.Transport = &watchedTransport{base: client.Transport, alive: func() { timer.Reset(idle) }}
	err := Call(ctx, &watched, step, method, address, path, body, out)
	if err != nil && errors.Is(context.Cause(ctx), errIdle) {
		return fault.New(step, address, errIdle)
	}
	return err
}

// errIdle says that the other side has been silent for too long.
var errIdle = errors.New("nothing came for too long")

// IsSilent reports whether an error of Call or CallIdle means that the other side said nothing in time. All others came
// at once, or with its word.
func IsSilent(err error) bool {
	return errors.Is(err, errIdle) || errors.Is(err, context.DeadlineExceeded)
}

// watchedTransport calls alive whenever a part of an answer comes.
type watchedTransport struct {
	base  http.RoundTripper
	alive func()
}

// RoundTrip implements http.RoundTripper.
func (t *watchedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	base := t.base
	if base == nil {
		base = http.DefaultTransport
	}
	response, err := base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	t.alive()
	response.Body = &watchedBody{ReadCloser: response.Body, alive: t.alive}
	return response, nil
}

type watchedBody struct {
	io.ReadCloser
	alive func()
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.alive()
	}
	return n, err
}

// CallAny is Call for an interface that answers with a value of its own also where the status is 400 or more. Only an
// answer with an ErrorBody is an error.
func CallAny(ctx context.Context, client *http.Client, step, method, address, path string, body, out any) error {
	status, answer, err := exchange(ctx, client, method, address+path, body)
	if err != nil {
		return fault.New(step, address, err)
	}
	var refusal ErrorBody
	if json.Unmarshal(answer, &refusal) == nil && refusal.Error != "" {
		return fault.New(step, address, statusError(status, answer))
	}
	return fault.New(step, address, json.Unmarshal(answer, out))
}

func call(ctx context.Context, client *http.Client, method, url string, body, out any) error {
	status, answer, err := exchange(ctx, client, method, url, body)
	if err != nil {
		return err
	}
	if status >= http.StatusBadRequest {
		return statusError(status, answer)
	}
	if out == nil || status == http.StatusNoContent {
		return nil
	}
	if bytesOut, ok := out.(*[]byte); ok {
		*bytesOut = answer
		return nil
	}
	return json.Unmarshal(answer, out)
}

// exchange sends a request and reads the whole answer.
func exchange(ctx context.Context, client *http.Client, method, url string, body any) (int, []byte, error) {
	data, raw := body.([]byte)
	if !raw && body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, nil, err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	response, err := Do(client, request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return response.StatusCode, answer, err
}

// Do sends a request. An error for which fault.NotReached holds says that nothing of it was sent, also where the time
// ran out while the connection was being made.
func Do(client *http.Client, r *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := client.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil && tracesConnections(client) && !connected.Load() {
		return nil, fmt.Errorf("%w: %w", fault.ErrNotSent, err)
	}
	return response, err
}

// tracesConnections reports whether the client's transport tells of its connections; those of tests may not.
func tracesConnections(client *http.Client) bool {
	_, ok := client.Transport.(*http.Transport)
	return ok
}

func statusError(status int, answer []byte) error {
	var body ErrorBody
	if json.Unmarshal(answer, &body) != nil || body.Error == "" {
		body.Error = http.StatusText(status)
	}
	return &StatusError{Status: status, Message: body.Error, Field: body.Field}
}

// Read decodes the body of a request strictly. Its errors are *fault.Field.
func Read(w http.ResponseWriter, r *http.Request, out any) error {
	data, err := ReadBytes(w, r)
	if err != nil {
		return err
	}
	return fault.Decode(data, out)
}

// ReadBytes returns the body of a request. Its errors are *fault.Field.
func ReadBytes(w http.ResponseWriter, r *http.Request) ([]byte, error) {
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

// KeepAlive starts an answer of status 200 and sends a newline, which JSON passes over, every period until stop is called.
// The value is written after that, with Write's encoding but no other status.
//
// All answers of a process get their newlines at the same moments. A process pays more for being woken than for what it
// writes: with 400 open answers that came at moments of their own, most of its processor time went into waking up.
func KeepAlive(w http.ResponseWriter, period time.Duration) (stop func()) {
	w.Header().Set("Content-Type", "application/json")
	controller := http.NewResponseController(w)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			// A failure to write ends the request's context, which is what the handler waits on.
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

// untilNext is the time from now to the next whole multiple of the period.
func untilNext(period time.Duration, now time.Time) time.Duration {
	return now.Truncate(period).Add(period).Sub(now)
}

// Write answers with a status and a JSON value.
func Write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failure to write is the other side's connection: there is no one left to tell.
	_ = json.NewEncoder(w).Encode(value)
}

// WriteError answers 400 for a *fault.Field, the status of a *StatusError, and 503 for everything else.
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

// retryMillis is when to come back after a failure that may pass.
const retryMillis = 1000
