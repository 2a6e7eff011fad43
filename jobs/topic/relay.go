package topic

import (
	"errors"
	"time"
)

const (
	// relayWait is how long a relay server holds a request until there are records. Together with
	// the server's own wait for the log, it bounds the lag of its clients.
	relayWait = 400 * time.Millisecond
	// relayGrace is how much longer than relayWait a client waits for the response before it reads
	// the log.
	relayGrace = 200 * time.Millisecond
	// maxRelayedAge is the longest time for which a relay server may have been out of sync. A
	// longer time means that the server has lost its connection to the log.
	maxRelayedAge = 1200 * time.Millisecond
	// relayQuarantine is how long a client avoids a server that has failed.
	relayQuarantine = 5 * time.Second
	// maxRelayed is the number of newest records that a server buffers. A client that lags further
	// behind reads the log.
	maxRelayed = 32
)

// errNotBuffered means that a relay server doesn't have all records from the offset on.
var errNotBuffered = errors.New("records from this offset are not buffered")

// RelayResponse is the response of a RelayServer: the records from an offset up to the end of the
// topic.
type RelayResponse struct {
	Records []StoredRecord `json:"records,omitempty"`
	// End is the offset of the next record to be written.
	End int64 `json:"end"`
	// AgeMillis is how long before the response the server was in sync, in milliseconds, rounded
	// up.
	AgeMillis int64 `json:"age_ms"`
	// HeldMillis is how long the server held the request before it responded, in milliseconds.
	HeldMillis int64 `json:"held_ms"`
}
