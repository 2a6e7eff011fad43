package topic

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/internal/sample"
)

// RelayClient is a log that reads new records from relay servers. It falls back to the log itself
// if there is no server to ask, or if the server fails or is out of sync. Appends, loads and probes
// always go to the log.
type RelayClient struct {
	Log
	path   string
	client *http.Client
	// servers returns the addresses of the relay servers, or none if this process has to read the
	// log itself.
	servers func() []string
	logger  zerolog.Logger

	mu sync.Mutex
	// failedAt holds the time of failure of each server that is avoided for now, by address.
	failedAt map[string]time.Time
}

var _ Log = (*RelayClient)(nil)

// NewRelayClient returns a log that reads from servers at the given path.
func NewRelayClient(
	log Log, path string, client *http.Client, servers func() []string, logger zerolog.Logger,
) *RelayClient {
	return &RelayClient{
		Log:      log,
		path:     path,
		client:   client,
		servers:  servers,
		logger:   logger,
		failedAt: map[string]time.Time{},
	}
}

// Read implements Log.
func (c *RelayClient) Read(ctx context.Context, q Query) (Batch, error) {
	if q.Wait == 0 || q.Probe {
		return c.Log.Read(ctx, q)
	}
	servers := sample.Draw(slices.DeleteFunc(slices.Clone(c.servers()), c.quarantined), 1)
	if len(servers) == 0 {
		return c.Log.Read(ctx, q)
	}
	batch, err := c.ask(ctx, servers[0], q.From)
	if err == nil || ctx.Err() != nil {
		return batch, err
	}
	c.logger.Warn().Str("step", "jobstore.relay").Str("source", servers[0]).Err(err).
		Msg("relay server failed; reading from the log instead")
	c.mu.Lock()
	c.failedAt[servers[0]] = time.Now()
	c.mu.Unlock()
	// Asking the server has taken time, so this read doesn't wait for records.
	return c.Log.Read(ctx, Query{From: q.From})
}

// quarantined reports whether a server failed less than relayQuarantine ago.
func (c *RelayClient) quarantined(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, failed := c.failedAt[address]
	if failed && time.Since(at) > relayQuarantine {
		delete(c.failedAt, address)
		return false
	}
	return failed
}

// ask reads from a server, and checks that its response is complete and recent.
func (c *RelayClient) ask(ctx context.Context, address string, from int64) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, relayWait+relayGrace)
	defer cancel()
	var response RelayResponse
	path := fmt.Sprintf("%s?from=%d", c.path, from)
	err := jsonhttp.Call(ctx, c.client, "jobstore.relay", http.MethodGet, "http://"+address, path, nil, &response)
	if err != nil {
		return Batch{}, err
	}
	// The staleness is relative to when the request was sent, and the server has held the request
	// since then.
	age := time.Duration(response.AgeMillis-response.HeldMillis) * time.Millisecond
	if age > maxRelayedAge || response.End != from+int64(len(response.Records)) {
		return Batch{}, fault.New("jobstore.relay", address, fmt.Errorf("%w: got %d records up to offset %d, in sync %v ago",
			errNotBuffered, len(response.Records), response.End, age))
	}
	for i, s := range response.Records {
		if s.Offset != from+int64(i) {
			return Batch{}, fault.New("jobstore.relay", address, fmt.Errorf("record %d has offset %d", i, s.Offset))
		}
	}
	return Batch{Records: response.Records, End: response.End, Staleness: max(age, 0)}, nil
}
