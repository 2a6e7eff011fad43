// Package incarnation names the incarnations of workers: single starts of a process.
//
// A worker may crash and start again under the id that it had. It then runs nothing, knows nothing of before, and counts its ends, its
// reports and its clock anew. So an id alone tells nothing of what a worker knows: a number up to which its ends were read, a lease by its clock
// or a run that was placed there holds for one start of it only. Whatever is kept about a worker is kept by ID, which names one start.
//
// Two IDs are compared for equality, never for order: the time of day may have been set back between two starts.
//
// # Usage
//
//	id := incarnation.ID{Instance: "i-7f3a91c2", Born: 1764722812345}
//	id.String() // "i-7f3a91c2@1764722812345", also its form in JSON
package incarnation

import (
	"strconv"
	"strings"
	"time"
)

// ID names one life of a worker. The zero value names none.
type ID struct {
	// Instance is the id that the worker has on the platform. Several starts may share it.
	Instance string
	// StartMillis is when the worker started, in milliseconds since 1970 by its own time of day; zero for a worker that does not say it,
	// which then has a new instance at each start.
	StartMillis int64
}

// separator stands between the instance and the time of its start.
const separator = "@"

// String is the text form: the instance, and the time of its start if that is known.
func (id ID) String() string {
	if id.StartMillis == 0 {
		return id.Instance
	}
	return id.Instance + separator + strconv.FormatInt(id.StartMillis, 10)
}

// Parse is the reverse of String. A text without a time, as older versions stored it, is the instance as a whole.
func Parse(text string) ID {
	if at := strings.LastIndex(text, separator); at >= 0 {
		if born, err := strconv.ParseInt(text[at+len(separator):], 10, 64); err == nil && born > 0 {
			return ID{Instance: text[:at], StartMillis: born}
		}
	}
	return ID{Instance: text}
}

// IsZero reports whether the ID names no life.
func (id ID) IsZero() bool { return id == ID{} }

// MarshalText implements encoding.TextMarshaler.
func (id ID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *ID) UnmarshalText(text []byte) error {
	*id = Parse(string(text))
	return nil
}

// StartedAt is when the worker started, by its own time of day; zero if it does not say it.
func (id ID) StartedAt() time.Time {
	if id.StartMillis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(id.StartMillis)
}

// SharesInstance reports whether two lives, which may be one, have the id on the platform in common. A call that names the instance reaches
// either.
func (id ID) SharesInstance(other ID) bool { return id.Instance == other.Instance }
