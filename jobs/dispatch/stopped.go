package dispatch

import "time"

// Urgent jobs arrive in bursts, and the capacity that is kept free for the next one of a burst is
// where a unit that was just stopped would find room first. Restarted there, it is stopped again.

// holdStopped makes units that were stopped for urgent ones leave the headroom free while the burst
// that stopped them lasts: until no work has been stopped for urgent units of their service for
// burstWindow.
func (p *plan) holdStopped(units []waitingUnit) {
	if !p.has(StoppedWait) || !p.has(Headroom) {
		return
	}
	var bursts map[string]time.Time
	for i := range units {
		w := &units[i]
		stoppedAt, ok := w.tracked.yieldedAt[w.first()]
		if !ok || w.urgent() || !p.overloaded(*w) {
			continue
		}
		if bursts == nil {
			bursts = p.burstEnds()
		}
		if until, ok := p.burstWaitOf(*w, stoppedAt, bursts[w.tracked.job.Service]); ok {
			w.leavesHeadroom, w.awaitsBurstEnd = true, true
			p.wakeAt(until)
		}
	}
}

// burstWaitOf returns until when a unit that was stopped at the given time waits for the end of the
// burst, at most idleMaxWait after it was stopped; false if it doesn't wait, or if waiting until
// then would make it late.
func (p *plan) burstWaitOf(w waitingUnit, stoppedAt, burstEnd time.Time) (until time.Time, ok bool) {
	until = burstEnd
	if limit := stoppedAt.Add(idleMaxWait); limit.Before(until) {
		until = limit
	}
	return until, p.now.Before(until) && !until.Add(w.duration).After(w.due)
}

// burstEnds returns, by service, when the burst of stops for urgent units ends unless more work is
// stopped.
func (p *plan) burstEnds() map[string]time.Time {
	ends := map[string]time.Time{}
	for _, t := range p.active {
		for _, at := range t.yieldedAt {
			if end := at.Add(burstWindow); end.After(ends[t.job.Service]) {
				ends[t.job.Service] = end
			}
		}
	}
	return ends
}

// leaveFree reports whether a unit that waits for the end of the burst would start now if it did
// not. It then claims the capacity that it leaves free: units after it in the queue would be
// stopped there as well. Urgent units come before it.
func (p *plan) leaveFree(w waitingUnit) bool {
	w.leavesHeadroom = false
	key := searchOf(w)
	if p.failedSearches[key] {
		return false
	}
	at := p.find(w, availableNow)
	if at == nil {
		p.failedSearches[key] = true
		return false
	}
	p.claimCapacity(w, at)
	return true
}
