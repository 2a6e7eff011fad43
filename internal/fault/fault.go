// Package fault holds the error types of all processes: Error, which names the step that failed and
// the peer, and Field, which names the field of an input that is wrong. Decode reads JSON strictly
// and returns a Field for what is wrong.
//
// # Usage
//
// Wrap an error where it arises:
//
//	return fault.New("ledger.append", "http://127.0.0.1:7000", err)
//
// errors.Is and errors.As see the cause through it.
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
	// Peer is the address or name of the other side. It is empty for a local failure.
	Peer string
	// Err is the cause.
	Err error
}

// New returns an *Error, or nil if err is nil.
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

// Field is an error about one field of an input.
type Field struct {
	// Name is the path of the field as the sender wrote it, such as "shape.accelerators".
	Name string
	// Reason says what is wrong and what is accepted.
	Reason string
}

// Error implements error.
func (f *Field) Error() string { return f.Name + ": " + f.Reason }

// BadField returns a *Field with a formatted reason.
func BadField(name, format string, args ...any) error {
	return &Field{Name: name, Reason: fmt.Sprintf(format, args...)}
}

// ErrNotSent means that no connection was made, so nothing was sent.
var ErrNotSent = errors.New("nothing was sent")

// NotReached reports whether err means that no connection was made, so that the peer can't have
// received anything.
func NotReached(err error) bool {
	var op *net.OpError
	return errors.Is(err, ErrNotSent) || errors.As(err, &op) && op.Op == "dial"
}
