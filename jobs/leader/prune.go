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

// Timing and number of checks.
const (
	pruneInterval = 2 * time.Second
	// pruneSample is the number of entries checked per round in addition to the standbys.
	pruneSample = 3
	// pruneMisses is the number of consecutive failed checks after which an entry is deregistered.
	// An entry that was only temporarily disconnected registers again.
	pruneMisses  = 3
	pruneTimeout = 500 * time.Millisecond
)

// pruner deregisters unreachable entries. Otherwise, in time, all standbys would be boxes that no
// longer exist.
type pruner struct {
	deps Dependencies
	// self is the address of this entry.
	self string
	// misses counts the consecutive failed checks by entry name.
	misses map[string]int
}

func newPruner(deps Dependencies, self string) *pruner {
	return &pruner{deps: deps, self: self, misses: map[string]int{}}
}

func (p *pruner) run(ctx context.Context) {
	for pause.For(ctx, pruneInterval) {
		unreachable := p.check(ctx, p.choose())
		if len(unreachable) == 0 {
			continue
		}
		if err := directory.DeregisterEntries(ctx, p.deps.DirectoryLog, unreachable); err != nil {
			p.deps.Logger.Warn().Str("step", "leader.prune").Strs("entries", unreachable).Err(err).
				Msg("failed to deregister unreachable entries")
			continue
		}
		p.deps.Logger.Info().Str("step", "leader.prune").Strs("entries", unreachable).Msg("unreachable entries deregistered")
		for _, name := range unreachable {
			delete(p.misses, name)
		}
	}
}

// choose returns the addresses of the entries to check, by name.
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

// check contacts the entries at their addresses, and returns those that have failed pruneMisses
// consecutive checks.
func (p *pruner) check(ctx context.Context, addresses map[string]string) (unreachable []string) {
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
				unreachable = append(unreachable, name)
			}
		})
	}
	wg.Wait()
	return unreachable
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
	return !fault.IsNotSent(err) && !errors.Is(err, context.DeadlineExceeded)
}
