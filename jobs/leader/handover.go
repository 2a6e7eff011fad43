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

// Times and numbers of offers.
const (
	// offerAfter is the least time that a write goes without success before leadership is
	// offered.
	offerAfter = 400 * time.Millisecond
	// offerInterval is the time between two rounds of offers, offerTimeout bounds one offer.
	offerInterval = 300 * time.Millisecond
	offerTimeout  = 500 * time.Millisecond
	// offersPerRound is enough for one that reaches the log, and few enough that not too many
	// claim.
	offersPerRound = 5
	// largerInterval is the time between offers to larger entries. Nothing starts during a
	// handover, so they must not follow one another.
	largerInterval = 2 * time.Second
	largerPerRound = 3
)

// handover offers leadership to other entries on behalf of a leader.
type handover struct {
	leader directory.Leader
	deps   Dependencies
}

// whileFailing offers leadership once a write goes without success for a while, until an entry
// accepts, which it reports by accepted, or ctx ends.
func (h handover) whileFailing(ctx context.Context, accepted func()) {
	began := time.Now()
	wait := max(offerAfter, 2*h.deps.Latency.HedgeDelay(0))
	// The first round goes to those that are large enough to lead, later ones to all.
	for addresses := h.deps.Directory.EligibleAddresses; pause.For(ctx, wait); addresses = h.deps.Directory.Addresses {
		if h.offerAny(ctx, addresses(), time.Since(began)) {
			accepted()
			return
		}
		wait = offerInterval
	}
}

// offerAny reports whether one of a few of the entries accepts.
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

// toLarger offers leadership to entries with many more cores until ctx ends, as it does when one
// of them has claimed the next term.
func (h handover) toLarger(ctx context.Context, cores float64) {
	for pause.For(ctx, largerInterval) {
		for _, address := range sample.Draw(h.deps.Directory.LargerThan(cores), largerPerRound) {
			if h.offer(ctx, address, 0) {
				break
			}
		}
	}
}

// offer reports whether an entry accepts. Failing is how long the leader's write has gone without
// success; zero in an offer to a larger entry.
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
