// Package fault defines the error types that all processes share: Error identifies the failed step
// and the peer, and Field identifies an invalid field of an input. Decode decodes JSON strictly and
// reports invalid input as a Field.
//
// # Usage
//
// Wrap an error where it occurs:
//
//	return fault.New("ledger.append", "http://127.0.0.1:7000", err)
//
// errors.Is and errors.As find the wrapped cause.
package fault

import (
	"errors"
	"fmt"
	"net"
)

// Error is an error with the step that failed and the peer involved.
type Error struct {
	// Step is the operation that failed, such as "platform.Append".
	Step string
	// Peer is the address or name of the peer. It is empty for a local failure.
	Peer string
	// Err is the underlying error.
	Err error
}

// New wraps err in an *Error. It returns nil if err is nil.
func New(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, Err: err}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("%s (peer %s): %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Field is an error that reports an invalid field of an input.
type Field struct {
	// Name is the path of the field in the input, such as "shape.accelerators".
	Name string
	// Reason describes why the value is invalid and which values are accepted.
	Reason string
}

// Error implements error.
func (f *Field) Error() string { return f.Name + ": " + f.Reason }

// BadField returns a *Field with a formatted reason.
func BadField(name, format string, args ...any) error {
	return &Field{Name: name, Reason: fmt.Sprintf(format, args...)}
}

// ErrNotSent means that no connection was established, so no part of the request was sent.
var ErrNotSent = errors.New("no connection was established, request not sent")

// IsNotSent reports whether err means that no connection was established, so that the peer can't
// have received any part of the request.
func IsNotSent(err error) bool {
	var op *net.OpError
	return errors.Is(err, ErrNotSent) || errors.As(err, &op) && op.Op == "dial"
}
