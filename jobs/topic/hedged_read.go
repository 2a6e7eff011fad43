package topic

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errBehind says that the log answers and has more to read, which a read that is under way brings.
var errBehind = errors.New("there is more to read")

// chase is one read of a topic in as many tries as it takes. The first try waits for news and brings them. The later ones find out whether the log answers: if it
// does and there is nothing to read, that is an answer too; if there is, the first try hangs, and it is read anew. It is read once more only if that has taken too
// long. So a log that has much to send is not asked for the same again and again.
type chase struct {
	log  Log
	next int64
	wait time.Duration

	mu sync.Mutex
	// whole is how many reads are under way that bring all there is, beside the first try; late is from when on another one begins beside them, and patience how
	// long that was.
	whole    int
	late     time.Time
	patience time.Duration
}

func newChase(log Log, next int64, wait time.Duration) *chase {
	return &chase{log: log, next: next, wait: wait}
}

// read makes one try.
func (c *chase) read(ctx context.Context, try int) (Batch, error) {
	if try == 0 {
		return c.log.Read(ctx, Query{From: c.next, Wait: c.wait})
	}
	batch, err := c.log.Read(ctx, Query{From: c.next, Probe: true})
	switch {
	case err != nil, batch.End <= c.next:
		return batch, err
	case !c.begin(time.Now()):
		return batch, errBehind
	}
	defer c.end()
	return c.log.Read(ctx, Query{From: c.next})
}

// begin reports whether a read that brings all there is should begin, and counts it.
func (c *chase) begin(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.whole > 0 && now.Before(c.late) {
		return false
	}
	c.whole++
	c.patience = max(wholePatience, 2*c.patience)
	c.late = now.Add(c.patience)
	return true
}

// end counts a read that has ended.
func (c *chase) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.whole--
}
