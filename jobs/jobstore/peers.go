package jobstore

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
)

const (
	// maxPeersAsked is the number of other entries asked to store a record. It has to be large
	// enough to find one that reaches a log which rejects part of the entries, and small enough
	// that a rejection by all of them leaves the caller time to retry.
	maxPeersAsked = 5
	// probeInterval is the time between two probes of an unreachable entry.
	probeInterval = time.Second
	// probeTimeout bounds a probe.
	probeTimeout = 500 * time.Millisecond
)

// peers selects the entries to ask, and tracks which are unreachable.
type peers struct {
	// addresses returns the addresses of all entries; self is the address of this one.
	addresses func() []string
	self      string
	client    *http.Client
	logger    zerolog.Logger

	// rotation shifts the selection with each record.
	rotation atomic.Int64

	mu sync.Mutex
	// probedAt holds when each unreachable entry was last probed, by address.
	probedAt map[string]time.Time
}

func newPeers(addresses func() []string, self string, client *http.Client, logger zerolog.Logger) *peers {
	return &peers{
		addresses: addresses,
		self:      self,
		client:    client,
		logger:    logger,
		probedAt:  map[string]time.Time{},
	}
}

// choose returns the entries to ask for one record: a few of the reachable ones, evenly spread over
// the list, and different ones for each record.
func (p *peers) choose() []string {
	var reachable []string
	for _, address := range p.addresses() {
		if address != p.self && !p.unreachable(address) {
			reachable = append(reachable, address)
		}
	}
	if len(reachable) <= maxPeersAsked {
		return reachable
	}
	rotation := int(p.rotation.Add(1))
	chosen := make([]string, maxPeersAsked)
	for i := range chosen {
		chosen[i] = reachable[(rotation+i*len(reachable)/maxPeersAsked)%len(reachable)]
	}
	return chosen
}

// unreachable reports whether an entry was unreachable when it was last asked or probed. Probes run
// in the background: connecting to a box that is down takes longer than callers can wait.
func (p *peers) unreachable(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	probedAt, unreachable := p.probedAt[address]
	if unreachable && time.Since(probedAt) > probeInterval {
		p.probedAt[address] = time.Now()
		go p.probe(address)
	}
	return unreachable
}

// markUnreachable marks an entry as unreachable.
func (p *peers) markUnreachable(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probedAt[address] = time.Now()
}

// probe checks whether an entry is reachable again. Any response, also an error, shows that it is.
func (p *peers) probe(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	var ignored struct{}
	err := jsonhttp.Call(ctx, p.client, "jobstore.look", http.MethodGet, "http://"+address, RecordsPath, nil, &ignored)
	if fault.IsNotSent(err) || ctx.Err() != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.probedAt, address)
	p.logger.Info().Str("step", "jobstore.look").Str("entry", address).Msg("entry is reachable again")
}
