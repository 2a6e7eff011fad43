package leader

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/directory"
)

// TestElectionStep checks which actions an entry takes on which evidence. Times are relative to the
// step. The timing is DefaultTiming without jitter: an election timeout of 1 s, suspicion after
// 0.6 s, and 1 s more for entries that are not standbys.
func TestElectionStep(t *testing.T) {
	const self, other = "entry-1/4", "entry-2/5"
	const ms = time.Millisecond
	now := time.Date(2026, 3, 4, 5, 6, 7, 0, time.UTC)
	leader := directory.Leader{Term: 7, Incarnation: other, Address: "10.1.0.19:7000"}
	ours := directory.Leader{Term: 7, Incarnation: self, Address: "10.1.0.18:7000"}
	earlier := directory.Leader{Term: 6, Incarnation: other}
	vacant := directory.Leader{Term: 7, Address: "10.1.0.19:7000"}
	// seen is the evidence of a standby that has been reading for a minute and last read a write of
	// the leader the given time ago.
	seen := func(silence time.Duration) evidence {
		return evidence{
			leader: leader, lastWrite: now.Add(-silence), end: 40, synced: true, syncedFor: time.Minute, standby: true,
			hedgeDelay: 100 * ms,
		}
	}
	// An election returned by began has neither asked nor claimed. waiting did both 30 s ago.
	began := func(ago time.Duration) election {
		return election{
			timing:   DefaultTiming(6 * time.Second),
			self:     self,
			lostTerm: -1,
			timeout:  time.Second,
			began:    now.Add(-ago),
		}
	}
	waiting := began(time.Minute).asked(now.Add(-30 * time.Second)).claimed(now.Add(-30 * time.Second))
	wait, read := actions{}, actions{read: true}
	ask, claim := actions{ask: true, read: true}, actions{read: true, claim: true}
	tests := []struct {
		name     string
		election election
		evidence evidence
		want     actions
	}{
		{"the leader writes", waiting, seen(200 * ms), wait},
		{"a read is due shortly before suspicion", waiting, seen(501 * ms), read},
		{"suspicion", waiting, seen(601 * ms), ask},
		{"suspicion, asked a moment ago", waiting.asked(now.Add(-299 * ms)), seen(900 * ms), read},
		{"suspicion, asked longer ago", waiting.asked(now.Add(-300 * ms)), seen(900 * ms), ask},
		{"silence of the whole timeout", waiting, seen(time.Second), ask},
		{"silence beyond the timeout", waiting, seen(1001 * ms), claim},
		{"a slow log", waiting, seen(1500 * ms).hedged(800 * ms), ask},
		{"beyond the timeout of a slow log", waiting, seen(1601 * ms).hedged(800 * ms), claim},
		{"a gap in this entry's own reads", waiting, seen(5 * time.Second).syncedSince(400 * ms), wait},
		{"not synced", waiting, seen(5 * time.Second).unsynced(), read},

		{"a standby at its start", began(0), seen(100 * ms), actions{ask: true}},
		{"another entry at its start", began(0), seen(100 * ms).nonStandby(), wait},
		{"silence from before the start", began(400 * ms), seen(5 * time.Second).nonStandby(), wait},

		{"no standby, silence beyond suspicion", waiting, seen(700 * ms).nonStandby(), wait},
		{"no standby, silence beyond suspicion and delay", waiting, seen(1601 * ms).nonStandby(), ask},
		{"no standby, silence beyond timeout and delay", waiting, seen(2001 * ms).nonStandby(), claim},

		{"given up", waiting, seen(100 * ms).from(vacant), claim},
		{"given up, no standby", waiting, seen(100 * ms).nonStandby().from(vacant), read},
		{"within the delay", waiting.vacantAt(now.Add(-999 * ms)), seen(100 * ms).nonStandby().from(vacant), read},
		{"after the delay", waiting.vacantAt(now.Add(-time.Second)), seen(100 * ms).nonStandby().from(vacant), claim},
		{"nobody has ever led", waiting, seen(time.Hour).from(directory.Leader{}), claim},
		{"found gone", waiting.withDeadLeader(leader), seen(100 * ms), claim},
		{"an earlier leader found gone", waiting.withDeadLeader(earlier), seen(100 * ms), wait},
		{"offered to this entry", waiting, seen(100 * ms).offered(7), claim},
		{"offered to this entry, no standby", waiting, seen(100 * ms).nonStandby().offered(7), claim},
		{"an earlier offer", waiting, seen(100 * ms).offered(6), wait},

		{"claimed a moment ago", waiting.claimed(now.Add(-500 * ms)), seen(1100 * ms), read},
		{"claimed longer ago", waiting.claimed(now.Add(-501 * ms)), seen(1100 * ms), claim},
		{"claimed in vain", waiting.claimed(now).withoutClaim(), seen(1100 * ms), claim},
		{"before the earliest claim", waiting.notBefore(now), seen(1100 * ms), read},

		{"this entry leads", waiting, seen(0).from(ours), actions{lead: true}},
		{"the term that it has lost", waiting.lost(7), seen(0).from(ours), wait},
		{"a term after the one that it has lost", waiting.lost(6), seen(0).from(ours), actions{lead: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			next, got := test.election.step(now, test.evidence)
			if got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
			if got.ask != next.askedAt.Equal(now) || got.claim && !next.claimedAt.Equal(now) {
				t.Errorf("after actions %+v, askedAt is %v and claimedAt is %v", got, next.askedAt, next.claimedAt)
			}
		})
	}
}

func (ev evidence) nonStandby() evidence                  { ev.standby = false; return ev }
func (ev evidence) unsynced() evidence                    { ev.synced = false; return ev }
func (ev evidence) from(leader directory.Leader) evidence { ev.leader = leader; return ev }
func (ev evidence) offered(term int64) evidence           { ev.offeredTerm = term; return ev }
func (ev evidence) hedged(delay time.Duration) evidence   { ev.hedgeDelay = delay; return ev }

func (ev evidence) syncedSince(ago time.Duration) evidence {
	ev.syncedFor = ago
	return ev
}

func (e election) asked(at time.Time) election     { e.askedAt = at; return e }
func (e election) claimed(at time.Time) election   { e.claimedAt = at; return e }
func (e election) vacantAt(at time.Time) election  { e.vacantSince = at; return e }
func (e election) notBefore(at time.Time) election { e.earliestClaim = at; return e }
func (e election) lost(term int64) election        { e.lostTerm = term; return e }

// TestElectionVacancy checks that the delay of an entry that is not a standby starts when
// leadership becomes vacant, and restarts if a leader is seen again in the meantime.
func TestElectionVacancy(t *testing.T) {
	now := time.Date(2026, 3, 4, 5, 6, 7, 0, time.UTC)
	e := newElection(DefaultTiming(6*time.Second), "entry-1/4", -1, time.Time{}, now)
	leader := directory.Leader{Term: 7, Incarnation: "entry-2/5"}
	ev := evidence{leader: leader, lastWrite: now, synced: true, syncedFor: time.Minute}
	vacated := ev
	vacated.leader.Incarnation = ""
	steps := []struct {
		at       time.Duration
		evidence evidence
		claim    bool
	}{
		{0, vacated, false},
		{900 * time.Millisecond, vacated, false},
		{950 * time.Millisecond, ev, false},
		{1100 * time.Millisecond, vacated, false},
		{2000 * time.Millisecond, vacated, false},
		{2100 * time.Millisecond, vacated, true},
	}
	for _, step := range steps {
		step.evidence.lastWrite = now.Add(step.at)
		var a actions
		if e, a = e.step(now.Add(step.at), step.evidence); a.claim != step.claim {
			t.Errorf("after %v: claim is %v, want %v", step.at, a.claim, step.claim)
		}
	}
}
