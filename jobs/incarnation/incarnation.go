// Package incarnation names single starts of workers.
//
// A worker may crash and start again under the same id. It then runs nothing, knows nothing of
// before, and counts its ends, its reports and its clock from the beginning. So what is known
// of a worker holds for one start only: the number of the newest end that was read, a lease by
// its clock, or a run that was placed there. Whatever is kept about a worker is kept by ID,
// which names one start.
//
// IDs are compared for equality, never for order: the time of day may have been set back
// between starts. The package owns the text form of an ID, which is stored, and relies on
// nothing.
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

// ID names one start of a worker. The zero value names none.
type ID struct {
	// Instance is the id that the worker has on the platform. Several starts may share it.
	Instance string
	// StartMillis is when the worker started, in milliseconds since 1970 by its own time of
	// day. It is zero for a worker that doesn't report it; such a worker has a new instance at
	// each start.
	StartMillis int64
}

// separator stands between the instance and the time of the start.
const separator = "@"

// String is the text form: the instance, and the time of the start if it is known.
func (id ID) String() string {
	if id.StartMillis == 0 {
		return id.Instance
	}
	return id.Instance + separator + strconv.FormatInt(id.StartMillis, 10)
}

// Parse is the inverse of String. A text without a time, as older versions stored it, is all
// instance.
func Parse(text string) ID {
	if at := strings.LastIndex(text, separator); at >= 0 {
		if millis, err := strconv.ParseInt(text[at+len(separator):], 10, 64); err == nil && millis > 0 {
			return ID{Instance: text[:at], StartMillis: millis}
		}
	}
	return ID{Instance: text}
}

// IsZero reports whether the ID names no start.
func (id ID) IsZero() bool { return id == ID{} }

// MarshalText implements encoding.TextMarshaler.
func (id ID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *ID) UnmarshalText(text []byte) error {
	*id = Parse(string(text))
	return nil
}

// StartedAt is when the worker started, by its own time of day; zero if it is not known.
func (id ID) StartedAt() time.Time {
	if id.StartMillis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(id.StartMillis)
}

// SharesInstance reports whether two IDs have the same instance: a call that names the instance
// reaches either start.
func (id ID) SharesInstance(other ID) bool { return id.Instance == other.Instance }
