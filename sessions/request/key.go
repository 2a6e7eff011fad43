package request

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"yarrowgrade.example/yarrowgrade/internal/fault"
)

// keySeparator separates the parts of a key; it cannot occur inside one.
const keySeparator = "~"

// Key identifies a request that runs at most once and the only incarnation of an agent that may run
// it.
type Key struct {
	Worker      string
	Incarnation string
	// ID is a UUIDv7. Its timestamp only determines which keys an agent evicts first.
	ID uuid.UUID
}

// NewKey returns a new key for an incarnation of an agent.
func NewKey(worker, incarnation string) (Key, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return Key{}, fault.New("request.NewKey", "", err)
	}
	return Key{Worker: worker, Incarnation: incarnation, ID: id}, nil
}

// String returns the text form that is sent to callers.
func (k Key) String() string {
	return k.Worker + keySeparator + k.Incarnation + keySeparator + k.ID.String()
}

// ParseKey parses the text form of a key. The error is a *fault.Field.
func ParseKey(text string) (Key, error) {
	parts := strings.Split(text, keySeparator)
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" {
		return Key{}, fault.BadField("key", "want a key returned by POST /v1/keys")
	}
	id, err := uuid.Parse(parts[2])
	if err != nil || id.Version() != 7 || id.String() != parts[2] {
		return Key{}, fault.BadField("key", "want a key returned by POST /v1/keys")
	}
	return Key{Worker: parts[0], Incarnation: parts[1], ID: id}, nil
}

// createdAt returns the timestamp of the key's ID.
func (k Key) createdAt() time.Time {
	seconds, nanos := k.ID.Time().UnixTime()
	return time.Unix(seconds, nanos)
}

// DigestOf returns a short digest of a body. It detects truncated and swapped bodies; it is not
// cryptographic.
func DigestOf(body string) string {
	return strconv.FormatUint(xxhash.Sum64String(body), 16) + "-" + strconv.Itoa(len(body))
}
