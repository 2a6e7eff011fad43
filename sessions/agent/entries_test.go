package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/membership"
)

// TestEntriesOfSettingsStayKnown gives an agent a view from an entry that took the other one
// for dead. If that entry is lost next, the agent must still know the other.
func TestEntriesOfSettingsStayKnown(t *testing.T) {
	l := newEntryList(ledger.Worker{Name: "worker-1", Zone: "z"}, []string{"http://a", "http://b"})
	l.set([]membership.EntryInfo{{Name: "b", Zone: "z", Address: "http://b"}, {Name: "c", Zone: "z", Address: "http://c"}})
	known := map[string]bool{}
	for _, e := range l.known() {
		known[e.Address] = true
	}
	if len(known) != 3 || !known["http://a"] || !known["http://b"] || !known["http://c"] {
		t.Errorf("knows %v, want a, b and c", known)
	}
}

var errSilent = fault.New("agent.poll", "", context.DeadlineExceeded)

// TestChooseEntry freezes an agent's entry. The other entry answers with a view that leaves the
// frozen one out, which changes the order; the agent must not go back to the frozen one because
// of that. Each such visit costs 6 s, and two of them are longer than a gang may prepare.
func TestChooseEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := membership.EntryInfo{Name: "a", Zone: "z", Address: "http://a"}
		b := membership.EntryInfo{Name: "b", Zone: "z", Address: "http://b"}
		l := newEntryList(ledger.Worker{Name: "worker-1", Zone: "z"}, []string{a.Address, b.Address})
		l.set([]membership.EntryInfo{a, b})
		first := l.choose()
		second := a
		if first == a.Address {
			second = b
		}
		l.fail(first, errSilent)
		for _, view := range [][]membership.EntryInfo{nil, {second}, {a, b}, {second}} {
			if got := l.choose(); got != second.Address {
				t.Errorf("after the failure of %s it chose %s", first, got)
			}
			l.set(view)
		}
		time.Sleep(time.Second)
		l.fail(second.Address, errSilent)
		if got := l.choose(); got != first {
			t.Errorf("after both failed it chose %s, want %s, whose failure is older", got, first)
		}
		l.fail(first, fault.New("agent.poll", first, &jsonhttp.StatusError{Status: 503}))
		time.Sleep(failedAvoidance)
		if got := l.choose(); got != first {
			t.Errorf("it chose %s, want %s, which only said that it was not ready yet", got, first)
		}
		time.Sleep(silentAvoidance)
		l.set([]membership.EntryInfo{a, b})
		if got := l.choose(); got != first {
			t.Errorf("after %v it chose %s, want its first choice %s again", silentAvoidance, got, first)
		}
	})
}
