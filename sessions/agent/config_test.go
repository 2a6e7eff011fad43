package agent

import (
	"testing"

	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/membership"
)

func limitsView(revision int64, value string) membership.View {
	return membership.View{
		ConfigRevision: revision,
		Config:         []membership.ConfigItem{{Key: ledger.LimitsKey, Revision: revision, Value: []byte(value)}},
	}
}

// TestConfigNeverReverts checks that a view from an entry with an older state does not revert the
// configuration of an agent.
func TestConfigNeverReverts(t *testing.T) {
	c := newConfig()
	for _, tt := range []struct {
		view  membership.View
		queue int
	}{
		{limitsView(5, `{"queue_length":5}`), 5},
		{limitsView(3, `{"queue_length":3}`), 5},
		{limitsView(5, `{"queue_length":4}`), 5},
		{limitsView(8, `{"queue_length":"unreadable"}`), 5},
		{limitsView(9, `{"queue_length":9}`), 9},
		{limitsView(0, `{"queue_length":0}`), 9},
	} {
		c = c.with(tt.view)
		if c.limits.QueueLength != tt.queue {
			t.Errorf("after the view at %d the queue length is %d, want %d",
				tt.view.ConfigRevision, c.limits.QueueLength, tt.queue)
		}
	}
	if got := c.with(membership.View{ConfigRevision: 10, Config: []membership.ConfigItem{
		{Key: "team/a", Revision: 10, Value: []byte(`{"name":"a","share":7}`)},
	}}).share("a"); got != 7 {
		t.Errorf("share %d, want 7", got)
	}
	if got := c.share("nobody"); got != 1 {
		t.Errorf("the share of an unknown team is %d, want 1", got)
	}
}
