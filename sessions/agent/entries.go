package agent

import (
	"slices"
	"sync"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/membership"
)

// Settings of an entryList.
const (
	// silentAvoidance is how long an entry that said nothing is left aside while another one
	// answers: to find out again takes 6 s. After that the agent returns to it if it comes
	// first, so that agents spread over the entries again.
	silentAvoidance = 30 * time.Second
	// failedAvoidance is the same for one that can be tried at no cost: it refused, reset or broke off.
	failedAvoidance = 2 * time.Second
)

// entryList knows the entries and which of them failed lately. It is safe for concurrent use.
type entryList struct {
	worker   ledger.Worker
	settings []string

	mu sync.Mutex
	// order has those that the newest view names, in this agent's order, and then the others of
	// the settings.
	order []membership.EntryInfo
	// avoidedUntil has until when an entry that failed is left aside.
	avoidedUntil map[string]time.Time
}

// newEntryList returns a list of the entries of the settings.
func newEntryList(worker ledger.Worker, settings []string) *entryList {
	l := &entryList{worker: worker, settings: settings, avoidedUntil: make(map[string]time.Time)}
	l.set(nil)
	return l
}

// set takes the entries that a view names. Those of the settings stay known as well: a view
// names only entries that were alive for the one that made it, and if that one is lost next,
// the agent would know no other.
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

// known returns the known entries.
func (l *entryList) known() []membership.EntryInfo {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.order
}

// choose returns the address of the entry to ask: the first that does not rest, or if all do,
// the one that has rested enough the soonest. It goes by addresses and not by places in the
// order, because each view may change the order.
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

// fail leaves an entry aside that did not answer, or answered that it can't serve.
func (l *entryList) fail(address string, err error) {
	rest := failedAvoidance
	if jsonhttp.IsSilent(err) {
		rest = silentAvoidance
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.avoidedUntil[address] = time.Now().Add(rest)
}
