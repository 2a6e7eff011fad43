package leader

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch"
)

// TestLeasesProof checks that the leader grants no lease and starts no run if its proof of
// leadership is too old.
func TestLeasesProof(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
		ask(t, fl, poll(1))
		publishOne(fl)
		time.Sleep(fl.timing.MaxProofAge + time.Millisecond)
		if a := ask(t, fl, poll(2)); a.LeaseMillis != 0 || len(a.Start) != 0 {
			t.Errorf("with an expired proof: got %+v, want no lease and no start", a)
		}
		fl.recordProof(fl.clock.Now())
		if a := ask(t, fl, poll(3)); a.LeaseMillis == 0 || len(a.Start) != 1 {
			t.Errorf("with a new proof: %+v", a)
		}
	})
}

// TestLeasesSuspended checks that a leader whose machine was suspended grants no lease based on a
// proof from before the suspension, however recent the proof seems by the monotonic clock. A
// successor may already lead, and relies on no lease being left.
func TestLeasesSuspended(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, env *environment) {
		ask(t, fl, poll(1))
		publishOne(fl)
		env.suspended += fl.timing.MaxProofAge
		if a := ask(t, fl, poll(2)); a.LeaseMillis == 0 {
			t.Errorf("with a proof of the maximum age: got %+v, want a lease", a)
		}
		written := fl.clock.Now()
		env.suspended += time.Second
		if a := ask(t, fl, poll(3)); a.LeaseMillis != 0 || len(a.Start) != 0 {
			t.Errorf("after a suspension: got %+v, want no lease and no start", a)
		}
		env.suspended += fl.timing.MaxProofAge
		fl.recordProof(written)
		if a := ask(t, fl, poll(4)); a.LeaseMillis != 0 {
			t.Errorf("with a write in flight while the machine was suspended: got %+v, want no lease", a)
		}
		fl.recordProof(fl.clock.Now())
		if a := ask(t, fl, poll(5)); a.LeaseMillis == 0 || len(a.Start) != 1 {
			t.Errorf("with a new proof: %+v", a)
		}
	})
}

// TestLeasesExpire checks that an agent gets neither a lease nor an order if it returns after its
// worker's lease was found to have ended, but before the resulting decision is published.
func TestLeasesExpire(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
		ask(t, fl, poll(1))
		publishOne(fl)
		time.Sleep(fl.timing.leaseEnd() + time.Millisecond)
		fl.recordProof(fl.clock.Now())
		workers := map[string]bool{"w": true}
		if expired := fl.expire(workers, time.Now(), time.Time{}); !expired["w"] {
			t.Fatal("the lease has not expired")
		}
		if a := ask(t, fl, poll(2)); a.LeaseMillis != 0 || len(a.Start) != 0 {
			t.Errorf("after expiry: got %+v, want no lease and no start", a)
		}
		fl.publish(map[string]dispatch.DesiredState{"w": {Incarnation: workerState.ID}})
		if a := ask(t, fl, poll(3)); a.LeaseMillis == 0 || len(a.Start) != 0 {
			t.Errorf("after publication: got %+v, want a lease and no start", a)
		}
		if expired := fl.expire(workers, time.Now(), time.Time{}); expired["w"] {
			t.Error("the worker has expired although it was just granted a lease")
		}
	})
}

// TestLeasesUnreached checks that an agent that cannot reach its worker gets no lease, so that the
// worker's last lease ends.
func TestLeasesUnreached(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
		publishOne(fl)
		silent, none := poll(1), poll(2)
		silent.Unresponsive, none.State = true, nil
		for _, p := range []assignment.Poll{silent, none} {
			if a := ask(t, fl, p); a.LeaseMillis != 0 {
				t.Errorf("poll %+v was granted a lease", p)
			}
		}
	})
}

// TestLeasesOpen checks that an answer reports the worker's zone as open only while no cordon of
// the zone is known, and that it contains the age of the proof at the time of the answer, not at
// that of the decision.
func TestLeasesOpen(t *testing.T) {
	const zone = "zone-1"
	inZone := workerState
	inZone.Zone = zone
	tests := []struct {
		name    string
		cordons catalog.Cordons
		age     time.Duration
		open    bool
	}{
		{"nothing cordoned", nil, time.Second, true},
		{"another zone cordoned", catalog.Cordons{}.With(catalog.Cordon{Zone: "zone-2"}), 3 * time.Second, true},
		{"cordoned", catalog.Cordons{}.With(catalog.Cordon{Zone: zone}), time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withLeases(t, func(t *testing.T, fl *fleet, env *environment) {
				p := poll(1)
				p.State = &inZone
				ask(t, fl, p)
				publishOne(fl)
				env.cordons = test.cordons
				time.Sleep(test.age)
				p.Sequence = 2
				a := ask(t, fl, p)
				if a.ZoneOpen != test.open || test.open && time.Duration(a.ZoneProofMillis)*time.Millisecond < test.age {
					t.Errorf("ZoneOpen is %v with a proof age of %d ms, want %v with at least %v",
						a.ZoneOpen, a.ZoneProofMillis, test.open, test.age)
				}
				env.syncedAt = time.Time{}
				p.Sequence = 3
				if a := ask(t, fl, p); a.ZoneOpen {
					t.Error("the zone is reported as open without a proof")
				}
			})
		})
	}
}

// TestLapsedLeaseWakes checks that a start held back because the proof of leadership was too old is
// sent as soon as there is a newer proof.
//
// It guards against such a start waiting until the poll has been held for PollWait.
func TestLapsedLeaseWakes(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, fl *fleet, _ *counter) {
		time.Sleep(fl.timing.MaxProofAge + time.Millisecond)
		p := agentPoll(0, 2, 0)
		p.Runs = nil
		began := time.Now()
		go func() {
			time.Sleep(50 * time.Millisecond)
			fl.recordProof(fl.clock.Now())
		}()
		if a := ask(t, fl, p); len(a.Start) != 1 || time.Since(began) != 50*time.Millisecond {
			t.Errorf("after %v the answer starts %v, want one start after 50 ms", time.Since(began), a.Start)
		}
	})
}
