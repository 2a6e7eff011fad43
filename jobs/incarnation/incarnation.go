// Package incarnation identifies the incarnations of workers. An incarnation is the time from one
// start of a worker to its end.
//
// A worker may crash and start again under the same platform id. It then runs nothing, has lost its
// state, and counts its ends, its reports and its clock from the beginning. What is known about a
// worker therefore holds for one incarnation only: the number of the newest end that was read, a
// lease by the worker's clock, or a run that was placed there. All state about a worker is keyed by
// ID, which identifies one incarnation.
//
// IDs are compared for equality, never for order, because the worker's time of day may have been
// set back between starts. The package defines the text form of an ID, which is stored, and depends
// on no other package of the project.
//
// # Usage
//
//	id := incarnation.ID{Instance: "i-7f3a91c2", StartMillis: 1764722812345}
//	id.String() // "i-7f3a91c2@1764722812345", also its form in JSON
package incarnation

import (
	"strconv"
	"strings"
	"time"
)

// ID identifies one incarnation of a worker. The zero value identifies none.
type ID struct {
	// Instance is the id that the platform gives the worker. Several incarnations may share it.
	Instance string
	// StartMillis is when the worker started, in milliseconds since 1970 by its own time of day. It
	// is zero for a worker that does not report it; such a worker has a new instance at each start.
	StartMillis int64
}

// separator separates the instance from the start time.
const separator = "@"

// String returns the text form: the instance, followed by the start time if it is known.
func (id ID) String() string {
	if id.StartMillis == 0 {
		return id.Instance
	}
	return id.Instance + separator + strconv.FormatInt(id.StartMillis, 10)
}

// Parse is the inverse of String. A text without a start time, as older versions stored it, is
// taken as the instance.
func Parse(text string) ID {
	if at := strings.LastIndex(text, separator); at >= 0 {
		if millis, err := strconv.ParseInt(text[at+len(separator):], 10, 64); err == nil && millis > 0 {
			return ID{Instance: text[:at], StartMillis: millis}
		}
	}
	return ID{Instance: text}
}

// IsZero reports whether the ID identifies no incarnation.
func (id ID) IsZero() bool { return id == ID{} }

// MarshalText implements encoding.TextMarshaler.
func (id ID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *ID) UnmarshalText(text []byte) error {
	*id = Parse(string(text))
	return nil
}

// StartedAt returns when the worker started, by its own time of day; zero if unknown.
func (id ID) StartedAt() time.Time {
	if id.StartMillis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(id.StartMillis)
}

// SharesInstance reports whether two IDs have the same instance. A call that names only the
// instance may reach either incarnation.
func (id ID) SharesInstance(other ID) bool { return id.Instance == other.Instance }
