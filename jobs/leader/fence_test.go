package leader

import (
	"testing"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// TestOfferIsMarked checks that an answer that only offers a fence is marked as an offer, and that
// an answer to the active process is not. A process must not use a fence that it was only offered.
func TestOfferIsMarked(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
		p := poll(1)
		p.Fence = 2<<fenceBits + 1
		offered := ask(t, fl, p)
		if !offered.FenceOffered {
			t.Errorf("answer to the first poll of a term is %+v, want an offer", offered)
		}
		p.Sequence, p.Fence = 2, offered.Fence
		if a := ask(t, fl, p); a.FenceOffered || a.Fence != offered.Fence {
			t.Errorf("answer to the poll that shows the offered fence is %+v, want that fence and no offer", a)
		}
	})
}

// TestRefusedFenceIsRaised checks that the active process gets a higher fence if the worker refuses
// its fence, once for each refused fence.
//
// It guards against a worker that has seen the fence of another process and refuses the fence of
// the active process for the rest of the term, so that runs placed there never end.
func TestRefusedFenceIsRaised(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
		first := ask(t, fl, poll(1)).Fence
		refused := poll(2)
		refused.Fence, refused.RefusedFence = first, first
		raised := ask(t, fl, refused).Fence
		if raised <= first {
			t.Errorf("after fence %d was refused, the agent gets fence %d, want a higher one", first, raised)
		}
		refused.Sequence = 3
		if again := ask(t, fl, refused).Fence; again != raised {
			t.Errorf("after the same refusal, the fence is %d, want %d", again, raised)
		}
		other := assignment.Poll{Worker: "w", Agent: "b", Sequence: 1, Term: 3, Fence: 5, RefusedFence: raised}
		fl.serve(t.Context(), other)
		if now := ask(t, fl, poll(4)).Fence; now != raised {
			t.Errorf("after a refusal sent by another process, the fence is %d, want %d", now, raised)
		}
	})
}
