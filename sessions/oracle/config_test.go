package oracle

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"yarrowgrade.example/yarrowgrade/sessions/ledger"
)

// putEvent is one operator's attempt to change the limits, as observed by the operator.
type putEvent struct {
	operator int
	base     int64
	// revision is the new revision; zero if the change was not acknowledged.
	revision int64
	// unknown means that no response arrived. withdrawn means that the system withdrew the change
	// before it took effect.
	unknown   bool
	withdrawn bool
	call, ret int64
}

// put has an operator read the limits at one entry and change them, possibly through the
// other one. Several operators may do so concurrently.
func (x *execution) put(st step) {
	operator := x.nextNumber()
	i := st.A % entryCount
	x.pending.Go(func() {
		base := int64(0)
		if e, err := x.caller(i).Config(x.ctx, ledger.LimitsKey); err == nil {
			base = e.Revision
		}
		limits := ledger.DefaultLimits()
		limits.QueueLength = 10 + operator
		ev := putEvent{operator: operator, base: base, call: time.Now().UnixNano()}
		answer, err := x.caller(st.B%entryCount).PutConfig(x.ctx, ledger.LimitsKey, limits, base, fmt.Sprint(operator))
		ev.ret = time.Now().UnixNano()
		ev.revision = answer.Revision
		ev.unknown = err != nil && !isConflict(err)
		ev.withdrawn = err != nil && strings.Contains(err.Error(), "given up")
		x.mu.Lock()
		defer x.mu.Unlock()
		x.puts = append(x.puts, ev)
	})
}

// putInput is a change, with the revisions that must result from changes whose responses were lost.
type putInput struct {
	putEvent
	lostRevisions []int64
}

// configModel is a register that changes by compare-and-set on its revision. A change whose
// response was lost may have had no effect, may have created a revision that others have read, or
// may have created a revision that nobody has observed. The model represents the latter by a
// negative number.
var configModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, input, _ any) []any {
		now, in := state.(int64), input.(putInput)
		switch {
		case in.unknown && in.base == now:
			next := []any{now, int64(-in.operator)}
			for _, revision := range in.lostRevisions {
				if revision > now {
					next = append(next, revision)
				}
			}
			return next
		case in.unknown || in.withdrawn:
			return []any{now}
		case in.revision == 0 && in.base != now && (now < 0 || in.base < now):
			// Revisions only increase, so the one that the operator has read is not newer.
			return []any{now}
		case in.revision > now && in.base == now:
			return []any{in.revision}
		}
		return nil
	},
}

// linearizable checks the history of changes. A change whose response was lost may take effect at
// any time after its call.
func linearizable(events []putEvent) (bool, string) {
	known := map[int64]bool{0: true}
	for _, ev := range events {
		known[ev.revision] = true
	}
	var lostRevisions []int64
	for _, ev := range events {
		if !known[ev.base] {
			known[ev.base] = true
			lostRevisions = append(lostRevisions, ev.base)
		}
	}
	var history []porcupine.Operation
	for _, ev := range events {
		ret := ev.ret
		if ev.unknown {
			ret = math.MaxInt64
		}
		history = append(history, porcupine.Operation{
			ClientId: ev.operator,
			Input:    putInput{ev, lostRevisions},
			Call:     ev.call,
			Return:   ret,
		})
	}
	if !porcupine.CheckOperations(configModel.ToModel(), history) {
		return false, fmt.Sprintf("not linearizable: %+v", events)
	}
	return true, ""
}

// TestConfigChecker tests the checker itself on valid and invalid histories, with and without lost
// responses.
func TestConfigChecker(t *testing.T) {
	accepted := func(base, revision, call int64) putEvent {
		return putEvent{operator: int(call), base: base, revision: revision, call: call, ret: call + 5}
	}
	refusal := func(base, call int64) putEvent { return accepted(base, 0, call) }
	unanswered := func(base, call int64) putEvent {
		return putEvent{operator: int(call), base: base, unknown: true, call: call, ret: call + 5}
	}
	tests := []struct {
		name   string
		events []putEvent
		ok     bool
	}{
		{"one after the other", []putEvent{accepted(0, 3, 10), accepted(3, 4, 20)}, true},
		{"a race with one winner", []putEvent{accepted(0, 3, 10), refusal(0, 11)}, true},
		{"two winners", []putEvent{accepted(0, 3, 10), accepted(0, 4, 11)}, false},
		{"refused though nobody changed it", []putEvent{refusal(0, 10), accepted(0, 3, 20)}, false},
		{"a revision goes back", []putEvent{accepted(0, 5, 10), accepted(5, 4, 20)}, false},
		{"a lost answer that had an effect", []putEvent{unanswered(0, 10), accepted(3, 4, 20)}, true},
		{"a lost answer without effect", []putEvent{unanswered(0, 10), accepted(0, 3, 20)}, true},
		{"refused for a revision that was never there", []putEvent{accepted(0, 2, 10), refusal(3, 30)}, false},
		{"a lost answer that only a refusal shows", []putEvent{unanswered(0, 10), refusal(0, 20)}, true},
		{
			"two winners beside a lost answer",
			[]putEvent{unanswered(0, 10), accepted(3, 4, 20), accepted(3, 5, 30)}, false,
		},
		{"a revision out of nothing", []putEvent{accepted(0, 2, 10), accepted(3, 4, 20)}, false},
	}
	for _, tt := range tests {
		if ok, _ := linearizable(tt.events); ok != tt.ok {
			t.Errorf("%s: linearizable is %v, want %v", tt.name, ok, tt.ok)
		}
	}
}
