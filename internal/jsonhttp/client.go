// Package jsonhttp exchanges JSON over HTTP between the system's own processes, with the platform
// and with clients.
//
// It defines the format of error responses (ErrorBody) and the size limits of requests and
// responses. It uses the errors of package fault to identify the failed step and the peer, or the
// invalid field.
//
// # Usage
//
// On the client side:
//
//	err := jsonhttp.Call(ctx, client, "entry.poll", http.MethodPost, address, "/internal/poll", body, &out)
//
// On the server side:
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

// maxResponseBytes is the size limit of a response. A batch of 256 log records of up to 64 KiB each
// fits into it.
const maxResponseBytes = 32 << 20

// StatusError is a response with a status of 400 or above.
type StatusError struct {
	Status  int
	Message string
	// Field is the invalid field of the request, if the response specifies one.
	Field string
}

// Error implements error.
func (e *StatusError) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("status %d: %s: %s", e.Status, e.Field, e.Message)
	}
	return fmt.Sprintf("status %d: %s", e.Status, e.Message)
}

// Call sends body to address+path and decodes the response into out. Both may be nil. A body of
// type []byte is sent unchanged, and an out of type *[]byte receives the raw response. Errors are
// of type *fault.Error and hold the step and the address; for a status of 400 or above they wrap a
// *StatusError.
func Call(
	ctx context.Context, client *http.Client, step, method, address, path string, body, out any,
) error {
	return fault.New(step, address, call(ctx, client, method, address+path, body, out))
}

// CallAnyStatus is like Call, but also decodes responses with a status of 400 or above into out.
// Only a response with an ErrorBody is an error.
func CallAnyStatus(
	ctx context.Context, client *http.Client, step, method, address, path string, body, out any,
) error {
	status, payload, err := roundTrip(ctx, client, method, address+path, body)
	if err != nil {
		return fault.New(step, address, err)
	}
	var errorBody ErrorBody
	if json.Unmarshal(payload, &errorBody) == nil && errorBody.Error != "" {
		return fault.New(step, address, statusError(status, payload))
	}
	return fault.New(step, address, json.Unmarshal(payload, out))
}

func call(ctx context.Context, client *http.Client, method, url string, body, out any) error {
	status, payload, err := roundTrip(ctx, client, method, url, body)
	if err != nil {
		return err
	}
	if status >= http.StatusBadRequest {
		return statusError(status, payload)
	}
	if out == nil || status == http.StatusNoContent {
		return nil
	}
	if raw, ok := out.(*[]byte); ok {
		*raw = payload
		return nil
	}
	return json.Unmarshal(payload, out)
}

// roundTrip sends a request and reads the whole response.
func roundTrip(ctx context.Context, client *http.Client, method, url string, body any) (int, []byte, error) {
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
	payload, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	return response.StatusCode, payload, err
}

// Do sends a request. If no connection was established, fault.IsNotSent is true for its error, even
// if the deadline passed during the connection attempt, because no part of the request was sent.
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
// transports might not call it.
func tracesConnections(client *http.Client) bool {
	_, ok := client.Transport.(*http.Transport)
	return ok
}

func statusError(status int, payload []byte) error {
	var body ErrorBody
	if json.Unmarshal(payload, &body) != nil || body.Error == "" {
		body.Error = http.StatusText(status)
	}
	return &StatusError{Status: status, Message: body.Error, Field: body.Field}
}

// IsTimeout reports whether an error of Call or CallWithIdleTimeout means that no response arrived
// in time. After any other error, the peer has responded or could not be reached at all.
func IsTimeout(err error) bool {
	return errors.Is(err, errIdleTimeout) || errors.Is(err, context.DeadlineExceeded)
}
