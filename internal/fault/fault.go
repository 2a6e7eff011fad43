// Package fault holds the error type that the processes of yarrowgrade pass on.
//
// # Usage
//
// Wrap an error where it arises, with the step that failed and the peer that was involved:
//
//	return fault.New("ledger.append", "http://127.0.0.1:7000", err)
//
// errors.Is and errors.As see through it to the cause.
package fault

import (
	"errors"
	"fmt"
	"net"
)

// Error is an error with the step and the peer at which it arose.
type Error struct {
	// Step is the operation that failed, such as "platform.Append".
	Step string
	// Peer is the address or name of the other side; it is empty for a local failure.
	Peer string
	// Err is the cause.
	Err error
}

// New returns an Error, or nil if err is nil.
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

// Field is a complaint about one field of an input.
type Field struct {
	// Name is the path of the field as the sender wrote it, such as "shape.accelerators".
	Name string
	// Reason says what is wrong and what would do.
	Reason string
}

// Error implements error.
func (f *Field) Error() string { return f.Name + ": " + f.Reason }

// BadField returns a *Field with a formatted reason.
func BadField(name, format string, args ...any) error {
	return &Field{Name: name, Reason: fmt.Sprintf(format, args...)}
}

// ErrNotSent says that no connection was had, so that nothing can have arrived.
var ErrNotSent = errors.New("nothing was sent")

// NotReached reports whether err says that a connection was never made, so that nothing can have arrived.
func NotReached(err error) bool {
	var op *net.OpError
	return errors.Is(err, ErrNotSent) || errors.As(err, &op) && op.Op == "dial"
}
