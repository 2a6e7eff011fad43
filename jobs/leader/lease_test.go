package leader

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch"
)

// TestLeasesProof: with an old proof of leadership nothing is leased and nothing started.
func TestLeasesProof(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
		ask(t, fl, poll(1))
		publishOne(fl)
		time.Sleep(fl.timing.MaxProofAge + time.Millisecond)
		if a := ask(t, fl, poll(2)); a.LeaseMillis != 0 || len(a.Start) != 0 {
			t.Errorf("with an old proof: %+v", a)
		}
		fl.prove(fl.clock.Now())
		if a := ask(t, fl, poll(3)); a.LeaseMillis == 0 || len(a.Start) != 1 {
			t.Errorf("with a new proof: %+v", a)
		}
	})
}

// TestLeasesSuspended: after a suspension of its machine a leader must grant nothing on a proof
// from before it, however young that seems by the monotonic clock: a successor may lead by now,
// and count on no lease being left.
func TestLeasesSuspended(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, env *environment) {
		ask(t, fl, poll(1))
		publishOne(fl)
		env.suspended += fl.timing.MaxProofAge
		if a := ask(t, fl, poll(2)); a.LeaseMillis == 0 {
			t.Errorf("with a proof that is just good enough: %+v", a)
		}
		written := fl.clock.Now()
		env.suspended += time.Second
		if a := ask(t, fl, poll(3)); a.LeaseMillis != 0 || len(a.Start) != 0 {
			t.Errorf("after a suspension: %+v", a)
		}
		env.suspended += fl.timing.MaxProofAge
		fl.prove(written)
		if a := ask(t, fl, poll(4)); a.LeaseMillis != 0 {
			t.Errorf("with a write that was under way while the machine was suspended: %+v", a)
		}
		fl.prove(fl.clock.Now())
		if a := ask(t, fl, poll(5)); a.LeaseMillis == 0 || len(a.Start) != 1 {
			t.Errorf("with a new proof: %+v", a)
		}
	})
}

// TestLeasesExpire: an agent that comes back between the decision that its worker's lease has
// ended and the publication of what follows must get neither a lease nor an order.
func TestLeasesExpire(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
		ask(t, fl, poll(1))
		publishOne(fl)
		time.Sleep(fl.timing.leaseEnd() + time.Millisecond)
		fl.prove(fl.clock.Now())
		workers := map[string]bool{"w": true}
		if over := fl.expire(workers, time.Now(), time.Time{}); !over["w"] {
			t.Fatal("the lease is not over")
		}
		if a := ask(t, fl, poll(2)); a.LeaseMillis != 0 || len(a.Start) != 0 {
			t.Errorf("an expired worker gets %+v", a)
		}
		fl.publish(map[string]dispatch.DesiredState{"w": {Incarnation: present.ID}})
		if a := ask(t, fl, poll(3)); a.LeaseMillis == 0 || len(a.Start) != 0 {
			t.Errorf("after the publication it gets %+v", a)
		}
		if over := fl.expire(workers, time.Now(), time.Time{}); over["w"] {
			t.Error("it is expired although it was just given a lease")
		}
	})
}

// TestLeasesUnreached: an agent that does not reach its worker gets no lease, so that the
// worker's lease ends.
func TestLeasesUnreached(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
		publishOne(fl)
		silent, none := poll(1), poll(2)
		silent.Unresponsive, none.State = true, nil
		for _, p := range []assignment.Poll{silent, none} {
			if a := ask(t, fl, p); a.LeaseMillis != 0 {
				t.Errorf("%+v gets a lease", p)
			}
		}
	})
}

// TestLeasesOpen: an answer says that the worker's zone is open only while no cordon of it is
// known, with the age of the proof at the moment of the answer, whatever was decided before.
func TestLeasesOpen(t *testing.T) {
	const zone = "zone-1"
	inZone := present
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
					t.Errorf("open is %v with a proof of %d ms, want %v with at least %v",
						a.ZoneOpen, a.ZoneProofMillis, test.open, test.age)
				}
				env.syncedAt = time.Time{}
				p.Sequence = 3
				if a := ask(t, fl, p); a.ZoneOpen {
					t.Error("the zone is said to be open without a proof")
				}
			})
		})
	}
}

// TestLapsedLeaseWakes: a start that was held back because the proof of leadership was too old
// waited until the poll had been held for its full time. It is sent as soon as there is a newer
// proof.
func TestLapsedLeaseWakes(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, fl *fleet, _ *counter) {
		time.Sleep(fl.timing.MaxProofAge + time.Millisecond)
		p := agentPoll(0, 2, 0)
		p.Runs = nil
		began := time.Now()
		go func() {
			time.Sleep(50 * time.Millisecond)
			fl.prove(fl.clock.Now())
		}()
		if a := ask(t, fl, p); len(a.Start) != 1 || time.Since(began) != 50*time.Millisecond {
			t.Errorf("after %v it is told to start %v", time.Since(began), a.Start)
		}
	})
}
