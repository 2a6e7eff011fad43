package leader

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/internal/sample"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/directory"
)

// Pace at which the leader looks for entries that are gone. The directory keeps what an entry has announced for good, and ten boxes a day are lost for good at the
// size to design for: without this the few that are to lead next would all be gone some day, and callers' records and
// agents' questions would go to boxes that nobody has any more.
const (
	// pruneEvery is the time between two rounds. In each the entries in line are looked at, and prunedAtOnce others: five and three calls, whatever the size.
	pruneEvery   = 2 * time.Second
	prunedAtOnce = 3
	// pruneAfter is in how many looks in a row an entry was not there when it is taken off. One that was only cut off announces itself again.
	pruneAfter = 3
	// pruneTimeout bounds a look.
	pruneTimeout = 500 * time.Millisecond
)

// prune takes entries off the directory that are gone, until ctx ends.
func (t *term) prune(ctx context.Context) {
	missed := map[string]int{}
	for pause.For(ctx, pruneEvery) {
		gone := t.missing(ctx, missed)
		if len(gone) == 0 {
			continue
		}
		if err := directory.DeregisterEntries(ctx, t.deps.DirectoryLog, gone); err != nil {
			t.deps.Logger.Warn().Str("step", "leader.prune").Strs("entries", gone).Err(err).Msg("entries that are gone could not be taken off the directory")
			continue
		}
		t.deps.Logger.Info().Str("step", "leader.prune").Strs("entries", gone).Msg("entries that are gone are taken off the directory")
		for _, name := range gone {
			delete(missed, name)
		}
	}
}

// missing looks at some entries, counts in how many looks in a row each was missed, and returns those that are gone.
func (t *term) missing(ctx context.Context, missed map[string]int) []string {
	listed := t.deps.Directory.AddressesByName()
	// Whoever was missed is looked at again, so that three looks do not take until it is drawn three times.
	names := slices.Concat(t.deps.Directory.Standbys(), slices.Collect(maps.Keys(missed)), sample.Draw(slices.Collect(maps.Keys(listed)), prunedAtOnce))
	looks := map[string]string{}
	for _, name := range names {
		if address, ok := listed[name]; ok {
			looks[name] = address
		}
	}
	return t.lookAt(ctx, looks, missed)
}

// lookAt looks at entries, by their names and addresses, all at once.
func (t *term) lookAt(ctx context.Context, looks map[string]string, missed map[string]int) (gone []string) {
	var mu sync.Mutex
	var wg conc.WaitGroup
	for name, address := range looks {
		wg.Go(func() {
			there := t.isThere(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			if there || ctx.Err() != nil {
				delete(missed, name)
				return
			}
			if missed[name]++; missed[name] >= pruneAfter {
				gone = append(gone, name)
			}
		})
	}
	wg.Wait()
	return gone
}

// isThere reports whether something answers at an entry's address.
func (t *term) isThere(ctx context.Context, address string) bool {
	if address == t.leader.Address {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, pruneTimeout)
	defer cancel()
	var r assignment.Redirect
	err := jsonhttp.Call(ctx, t.deps.Client, "leader.prune", http.MethodGet, "http://"+address, assignment.LeaderPath, nil, &r)
	return !fault.NotReached(err) && !errors.Is(err, context.DeadlineExceeded)
}
