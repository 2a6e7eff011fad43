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

// Pace of the checks.
const (
	pruneInterval = 2 * time.Second
	// pruneSample is how many entries are checked in a round besides the standbys.
	pruneSample = 3
	// pruneMisses is how many checks in a row an entry fails before it is deregistered. One that
	// was only cut off registers again.
	pruneMisses  = 3
	pruneTimeout = 500 * time.Millisecond
)

// pruner deregisters entries that are gone. Otherwise all standbys would in time be boxes that no
// longer exist.
type pruner struct {
	deps Dependencies
	// self is this entry's address.
	self string
	// misses counts the failed checks in a row, by entry.
	misses map[string]int
}

func newPruner(deps Dependencies, self string) *pruner {
	return &pruner{deps: deps, self: self, misses: map[string]int{}}
}

func (p *pruner) run(ctx context.Context) {
	for pause.For(ctx, pruneInterval) {
		gone := p.check(ctx, p.choose())
		if len(gone) == 0 {
			continue
		}
		if err := directory.DeregisterEntries(ctx, p.deps.DirectoryLog, gone); err != nil {
			p.deps.Logger.Warn().Str("step", "leader.prune").Strs("entries", gone).Err(err).
				Msg("lost entries could not be deregistered")
			continue
		}
		p.deps.Logger.Info().Str("step", "leader.prune").Strs("entries", gone).Msg("lost entries deregistered")
		for _, name := range gone {
			delete(p.misses, name)
		}
	}
}

// choose returns the entries to check, with their addresses.
func (p *pruner) choose() map[string]string {
	addresses := p.deps.Directory.AddressesByName()
	names := slices.Concat(
		p.deps.Directory.Standbys(),
		slices.Collect(maps.Keys(p.misses)),
		sample.Draw(slices.Collect(maps.Keys(addresses)), pruneSample),
	)
	chosen := map[string]string{}
	for _, name := range names {
		if address, ok := addresses[name]; ok {
			chosen[name] = address
		}
	}
	return chosen
}

// check checks entries at their addresses, and returns those that have failed pruneMisses checks
// in a row.
func (p *pruner) check(ctx context.Context, addresses map[string]string) (gone []string) {
	var mu sync.Mutex
	var wg conc.WaitGroup
	for name, address := range addresses {
		wg.Go(func() {
			answers := p.answers(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			if answers || ctx.Err() != nil {
				delete(p.misses, name)
				return
			}
			if p.misses[name]++; p.misses[name] >= pruneMisses {
				gone = append(gone, name)
			}
		})
	}
	wg.Wait()
	return gone
}

func (p *pruner) answers(ctx context.Context, address string) bool {
	if address == p.self {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, pruneTimeout)
	defer cancel()
	var r assignment.Redirect
	url := "http://" + address
	err := jsonhttp.Call(ctx, p.deps.Client, "leader.prune", http.MethodGet, url, assignment.LeaderPath, nil, &r)
	return !fault.NotReached(err) && !errors.Is(err, context.DeadlineExceeded)
}
