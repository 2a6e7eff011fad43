package agent

import (
	"slices"
	"sync"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/membership"
)

// How long an entry is avoided after a failure if others are available.
const (
	// silentAvoidance applies to an entry that did not respond. It is long because each further
	// attempt takes membership.PollIdleTimeout to fail.
	silentAvoidance = 30 * time.Second
	// failedAvoidance applies to an entry that refused or closed the connection, or that returned
	// an error. It is short because a further attempt fails immediately.
	failedAvoidance = 2 * time.Second
)

// entryList holds the known entries, and records which of them failed recently. It is safe for
// concurrent use.
type entryList struct {
	worker     ledger.Worker
	configured []string

	mu sync.Mutex
	// order lists the entries of the latest view in this agent's order of preference, followed by
	// the other entries of the settings.
	order []membership.EntryInfo
	// avoidedUntil is the time from which a failed entry may be chosen again, by address.
	avoidedUntil map[string]time.Time
}

// newEntryList returns a list of the entries of the settings.
func newEntryList(worker ledger.Worker, configured []string) *entryList {
	l := &entryList{worker: worker, configured: configured, avoidedUntil: make(map[string]time.Time)}
	l.set(nil)
	return l
}

// set replaces the entries that come from a view. The entries of the settings stay in the list,
// because a view contains only the entries that its sender considers alive, possibly only the
// sender itself.
func (l *entryList) set(listed []membership.EntryInfo) {
	var others []membership.EntryInfo
	for _, address := range l.configured {
		if !slices.ContainsFunc(listed, func(e membership.EntryInfo) bool { return e.Address == address }) {
			others = append(others, membership.EntryInfo{Address: address})
		}
	}
	order := append(l.sorted(listed), l.sorted(others)...)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.order = order
}

func (l *entryList) sorted(entries []membership.EntryInfo) []membership.EntryInfo {
	return membership.EntryOrder(l.worker.Name, l.worker.Region, l.worker.Zone, entries)
}

// known returns all entries.
func (l *entryList) known() []membership.EntryInfo {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.order
}

// choose returns the address of the entry to poll: the first one that is not avoided or, if all are
// avoided, the one whose avoidance ends first.
func (l *entryList) choose() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	soonest := l.order[0].Address
	for _, e := range l.order {
		until := l.avoidedUntil[e.Address]
		if !time.Now().Before(until) {
			return e.Address
		}
		if until.Before(l.avoidedUntil[soonest]) {
			soonest = e.Address
		}
	}
	return soonest
}

// recordFailure records that an entry did not answer, or that it could not serve the agent.
func (l *entryList) recordFailure(address string, err error) {
	avoidance := failedAvoidance
	if jsonhttp.IsTimeout(err) {
		avoidance = silentAvoidance
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.avoidedUntil[address] = time.Now().Add(avoidance)
}
