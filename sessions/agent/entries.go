package agent

import (
	"slices"
	"sync"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/membership"
)

// How long an entry is avoided after a failure, while another one answers.
const (
	// silentAvoidance applies to an entry that did not respond, because every further attempt
	// costs membership.PollIdle.
	silentAvoidance = 30 * time.Second
	// failedAvoidance applies to an entry that refused or broke the connection, which an attempt
	// finds out at once.
	failedAvoidance = 2 * time.Second
)

// entryList holds the known entries and which of them failed recently. It is safe for concurrent
// use.
type entryList struct {
	worker   ledger.Worker
	settings []string

	mu sync.Mutex
	// order lists the entries of the newest view in this agent's order of preference, followed by
	// the others of the settings.
	order []membership.EntryInfo
	// avoidedUntil is when each entry that failed may be chosen again, by address.
	avoidedUntil map[string]time.Time
}

// newEntryList returns a list with the entries of the settings.
func newEntryList(worker ledger.Worker, settings []string) *entryList {
	l := &entryList{worker: worker, settings: settings, avoidedUntil: make(map[string]time.Time)}
	l.set(nil)
	return l
}

// set replaces the entries that come from a view. Those of the settings stay in the list: a view
// has only the entries that its sender considers alive, which may be none but itself.
func (l *entryList) set(named []membership.EntryInfo) {
	var others []membership.EntryInfo
	for _, address := range l.settings {
		if !slices.ContainsFunc(named, func(e membership.EntryInfo) bool { return e.Address == address }) {
			others = append(others, membership.EntryInfo{Address: address})
		}
	}
	order := append(l.sorted(named), l.sorted(others)...)
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

// choose returns the address of the entry to poll: the first that is not avoided or, if all are,
// the one whose avoidance ends first.
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

// fail records that an entry did not answer, or could not serve the agent.
func (l *entryList) fail(address string, err error) {
	avoidance := failedAvoidance
	if jsonhttp.IsTimeout(err) {
		avoidance = silentAvoidance
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.avoidedUntil[address] = time.Now().Add(avoidance)
}
