package jobstore

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errBehind says that the log answers and has more to read, which a read that is under way brings.
var errBehind = errors.New("there is more to read")

// chase is one read of a topic in as many tries as it takes. The first try waits for news and brings them. The later ones find out whether the log answers: if it
// does and there is nothing to read, that is an answer too; if there is, it is read, unless a read that brings it is under way and has not
// taken too long. So a log that has much to send is not asked for the same again and again.
type chase struct {
	log  Log
	next int64
	wait time.Duration

	mu sync.Mutex
	// whole is how many reads are under way that bring all there is, late from when on another one begins beside them, and patience how long that was.
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
		c.begin(time.Now(), c.wait)
		return c.readWhole(ctx, c.wait)
	}
	batch, err := c.log.Read(ctx, Query{From: c.next, Brief: true})
	switch {
	case err != nil, batch.End <= c.next:
		return batch, err
	case !c.begin(time.Now(), 0):
		return batch, errBehind
	}
	return c.readWhole(ctx, 0)
}

// begin reports whether a read that brings all there is, and waits that long for it, should begin, and counts it.
func (c *chase) begin(now time.Time, wait time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.whole > 0 && now.Before(c.late) {
		return false
	}
	c.whole++
	c.patience = max(wholePatience, 2*c.patience)
	c.late = now.Add(wait + c.patience)
	return true
}

func (c *chase) readWhole(ctx context.Context, wait time.Duration) (Batch, error) {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.whole--
	}()
	return c.log.Read(ctx, Query{From: c.next, Wait: wait})
}
