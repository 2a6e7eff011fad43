package leader

import (
	"testing"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// TestOfferIsMarked: an answer that only offers a fence says so, and one to a process that is heard
// does not: the process must not use what it is offered.
func TestOfferIsMarked(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
		p := poll(1)
		p.Fence = 2<<fenceBits + 1
		offered := ask(t, fl, p)
		if !offered.FenceOffered {
			t.Errorf("the first poll of a term is answered %+v, want an offer", offered)
		}
		p.Sequence, p.Fence = 2, offered.Fence
		if a := ask(t, fl, p); a.FenceOffered || a.Fence != offered.Fence {
			t.Errorf("the poll that shows the fence is answered %+v", a)
		}
	})
}

// TestRefusedFenceIsRaised: a process that is heard and whose fence the worker refuses gets a higher
// one, once for each.
//
// The worker had seen the fence of another process, and refused the one that is heard for the rest
// of the term: what was placed there never ended.
func TestRefusedFenceIsRaised(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
		first := ask(t, fl, poll(1)).Fence
		refused := poll(2)
		refused.Fence, refused.RefusedFence = first, first
		raised := ask(t, fl, refused).Fence
		if raised <= first {
			t.Errorf("after fence %d was refused the agent gets %d", first, raised)
		}
		refused.Sequence = 3
		if again := ask(t, fl, refused).Fence; again != raised {
			t.Errorf("the same refusal gives fence %d, want %d", again, raised)
		}
		other := assignment.Poll{Worker: "w", Agent: "b", Sequence: 1, Term: 3, Fence: 5, RefusedFence: raised}
		fl.serve(t.Context(), other)
		if now := ask(t, fl, poll(4)).Fence; now != raised {
			t.Errorf("the refusal of another process gives fence %d, want %d", now, raised)
		}
	})
}
