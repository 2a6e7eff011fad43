// Package jsonhttp exchanges JSON over HTTP: between the system's own processes, with the platform,
// and with clients.
//
// It owns the form of error answers (ErrorBody) and the size limits of requests and answers. It
// relies on package fault for errors that name the step and the peer, or the field that is wrong.
//
// # Usage
//
// The client side:
//
//	err := jsonhttp.Call(ctx, client, "entry.poll", http.MethodPost, address, "/internal/poll", body, &answer)
//
// The server side:
//
//	if err := jsonhttp.Read(w, r, &in); err != nil {
//		jsonhttp.WriteError(w, err)
//		return
//	}
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

	"yarrowgrade.example/yarrowgrade/internal/fault"
)

// maxAnswerBytes bounds one answer. A batch of 256 log records of at most 64 KiB stays below it.
const maxAnswerBytes = 32 << 20

// StatusError is an answer with a status of 400 or more.
type StatusError struct {
	Status  int
	Message string
	// Field names the field of the request that is wrong, if the answer names one.
	Field string
}

// Error implements error.
func (e *StatusError) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("status %d: %s: %s", e.Status, e.Field, e.Message)
	}
	return fmt.Sprintf("status %d: %s", e.Status, e.Message)
}

// Call sends body to address+path and decodes the answer into out. Both may be nil; a body of type
// []byte is sent as it is, and an out of type *[]byte gets the raw answer. Errors are *fault.Error
// with the step and the address; for an answer of 400 or more they wrap a *StatusError.
func Call(
	ctx context.Context, client *http.Client, step, method, address, path string, body, out any,
) error {
	return fault.New(step, address, call(ctx, client, method, address+path, body, out))
}

// CallAny is Call for interfaces that answer with a value of their own at a status of 400 or more,
// too. Only an answer with an ErrorBody is an error.
func CallAny(
	ctx context.Context, client *http.Client, step, method, address, path string, body, out any,
) error {
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
	if raw, ok := out.(*[]byte); ok {
		*raw = answer
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

// Do sends a request. If no connection was made, fault.NotReached holds for its error, even if the
// deadline passed while the connection was being made: nothing of the request was sent.
func Do(client *http.Client, r *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := client.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil && tracesConnections(client) && !connected.Load() {
		return nil, fmt.Errorf("%w: %w", fault.ErrNotSent, err)
	}
	return response, err
}

// tracesConnections reports whether the client's transport is known to call GotConn. Other
// transports may not.
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

// IsSilent reports whether an error of Call or CallIdle means that no answer came in time. After
// any other error the peer answered, or could not be reached at all.
func IsSilent(err error) bool {
	return errors.Is(err, errIdle) || errors.Is(err, context.DeadlineExceeded)
}
