package leader

import (
	"context"
	"net/http"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/internal/sample"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/directory"
)

// Timing and number of offers.
const (
	// offerAfter is the minimum time for which a write must fail before leadership is offered.
	offerAfter = 400 * time.Millisecond
	// offerInterval is the time between two rounds of offers. offerTimeout is the timeout of one
	// offer.
	offerInterval = 300 * time.Millisecond
	offerTimeout  = 500 * time.Millisecond
	// offersPerRound is large enough to include an entry that can reach the log, and small enough
	// to limit the number of entries that claim the next term.
	offersPerRound = 5
	// largerInterval is the time between offers to larger entries. No runs start during a handover,
	// so handovers must not follow one another immediately.
	largerInterval = 2 * time.Second
	largerPerRound = 3
)

// handover offers leadership to other entries on behalf of a leader.
type handover struct {
	leader directory.Leader
	deps   Dependencies
}

// offerWhileFailing offers leadership once a write has been failing for some time, until an entry
// accepts or ctx ends. It calls accepted when an entry accepts.
func (h handover) offerWhileFailing(ctx context.Context, accepted func()) {
	began := time.Now()
	wait := max(offerAfter, 2*h.deps.Latency.HedgeDelay(0))
	// The first round of offers goes to the eligible entries, later rounds go to all entries.
	for addresses := h.deps.Directory.EligibleAddresses; pause.For(ctx, wait); addresses = h.deps.Directory.Addresses {
		if h.offerAny(ctx, addresses(), time.Since(began)) {
			accepted()
			return
		}
		wait = offerInterval
	}
}

// offerAny offers leadership to a random sample of the entries at once, and reports whether one of
// them accepts.
func (h handover) offerAny(ctx context.Context, addresses []string, failing time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	isSelf := func(address string) bool { return address == h.leader.Address }
	addresses = sample.Draw(slices.DeleteFunc(slices.Clone(addresses), isSelf), offersPerRound)
	answers := make(chan bool)
	for _, address := range addresses {
		go func() {
			select {
			case answers <- h.offer(ctx, address, failing):
			case <-ctx.Done():
			}
		}()
	}
	for range addresses {
		select {
		case accepted := <-answers:
			if accepted {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// offerToLarger offers leadership to considerably larger entries until ctx ends, which happens when
// one of them has claimed the next term.
func (h handover) offerToLarger(ctx context.Context, cores float64) {
	for pause.For(ctx, largerInterval) {
		for _, address := range sample.Draw(h.deps.Directory.LargerThan(cores), largerPerRound) {
			if h.offer(ctx, address, 0) {
				break
			}
		}
	}
}

// offer offers leadership to an entry, and reports whether it accepts. failing is how long the
// leader's write has been failing, or zero in an offer to a larger entry.
func (h handover) offer(ctx context.Context, address string, failing time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	offer := assignment.Handover{
		Term:          h.leader.Term,
		Name:          h.leader.Incarnation,
		FailingMillis: failing.Milliseconds(),
	}
	var none struct{}
	url := "http://" + address
	err := jsonhttp.Call(ctx, h.deps.Client, "leader.offer", http.MethodPost, url, assignment.HandoverPath, offer, &none)
	return err == nil
}
