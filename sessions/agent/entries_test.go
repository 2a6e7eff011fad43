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

// TestEntriesOfSettingsStayKnown checks that an agent keeps an entry of its settings that is
// missing from a view, because the sender considered that entry dead. If the sender fails next, the
// agent must still be able to poll the other entry.
func TestEntriesOfSettingsStayKnown(t *testing.T) {
	l := newEntryList(ledger.Worker{Name: "worker-1", Zone: "z"}, []string{"http://a", "http://b"})
	l.set([]membership.EntryInfo{{Name: "b", Zone: "z", Address: "http://b"}, {Name: "c", Zone: "z", Address: "http://c"}})
	known := map[string]bool{}
	for _, e := range l.known() {
		known[e.Address] = true
	}
	if len(known) != 3 || !known["http://a"] || !known["http://b"] || !known["http://c"] {
		t.Errorf("got the entries %v, want a, b and c", known)
	}
}

var errSilent = fault.New("agent.poll", "", context.DeadlineExceeded)

// TestChooseEntry checks that an agent does not return to an unresponsive entry when the views of
// the other entry change the order of entries. Each poll of the unresponsive entry takes 6 s to
// time out, and two of them exceed the time in which a gang must be ready.
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
		l.recordFailure(first, errSilent)
		for _, view := range [][]membership.EntryInfo{nil, {second}, {a, b}, {second}} {
			if got := l.choose(); got != second.Address {
				t.Errorf("after the failure of %s the agent chose %s", first, got)
			}
			l.set(view)
		}
		time.Sleep(time.Second)
		l.recordFailure(second.Address, errSilent)
		if got := l.choose(); got != first {
			t.Errorf("after both failed the agent chose %s, want %s, which failed first", got, first)
		}
		l.recordFailure(first, fault.New("agent.poll", first, &jsonhttp.StatusError{Status: 503}))
		time.Sleep(failedAvoidance)
		if got := l.choose(); got != first {
			t.Errorf("the agent chose %s, want %s, which only answered that it is not ready", got, first)
		}
		time.Sleep(silentAvoidance)
		l.set([]membership.EntryInfo{a, b})
		if got := l.choose(); got != first {
			t.Errorf("after %v the agent chose %s, want its preferred entry %s", silentAvoidance, got, first)
		}
	})
}
