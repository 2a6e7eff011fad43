package leader

import (
	"context"
	"slices"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/directory"
)

// TestGoneEntriesArePruned: registrations stayed for good, so that after months most of the
// registered entries were boxes that no longer existed. The leader deregisters those that fail
// three checks in a row, at a cost that does not grow with the entries.
func TestGoneEntriesArePruned(t *testing.T) {
	for _, n := range []int{20, 40} {
		withTerm(t, n, func(t *testing.T, ctx context.Context, tm *testTerm, calls *countingTransport) {
			gone := tm.deps.Directory.Standbys()[0]
			calls.gone[tm.deps.Directory.AddressesByName()[gone]] = true
			const watched = 20 * time.Second
			go newPruner(tm.deps, tm.leader.Address).run(ctx)
			time.Sleep(watched)
			listed := tm.deps.Directory.AddressesByName()
			if _, ok := listed[gone]; ok || len(listed) != n-1 {
				t.Errorf("%d of %d are listed, want all but %s", len(listed), n, gone)
			}
			if standbys := tm.deps.Directory.Standbys(); len(standbys) != 5 || slices.Contains(standbys, gone) {
				t.Errorf("standbys are %v, want five that are there", standbys)
			}
			// Five standbys and three others in each round, and the one that is gone.
			if most := int(watched/pruneInterval) * (5 + 3 + 1); len(calls.hosts) > most {
				t.Errorf("%d calls in %v with %d entries, want at most %d", len(calls.hosts), watched, n, most)
			}
		})
	}
}

// TestEntryAnnouncesItselfAgain: an entry that was deregistered although it runs is soon registered again.
func TestEntryAnnouncesItselfAgain(t *testing.T) {
	withTerm(t, 4, func(t *testing.T, ctx context.Context, tm *testTerm, _ *countingTransport) {
		d := tm.deps.Directory
		go d.KeepRegistered(ctx, tm.deps.DirectoryLog, "entry-9", addressOf(9), 1)
		time.Sleep(10 * time.Second)
		if err := directory.DeregisterEntries(ctx, tm.deps.DirectoryLog, []string{"entry-9", "entry-2"}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if listed := d.AddressesByName(); listed["entry-9"] != addressOf(9) || listed["entry-2"] != "" {
			t.Errorf("listed are %v, want entry-9 and not entry-2", listed)
		}
	})
}
