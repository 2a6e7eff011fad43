package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"yarrowgrade.example/yarrowgrade/assignment"
	"yarrowgrade.example/yarrowgrade/job"
)

// desked runs a test with an open desk, in a bubble.
func desked(t *testing.T, f func(t *testing.T, d *desk)) {
	synctest.Test(t, func(t *testing.T) {
		d := newDesk(DefaultTiming(6 * time.Second))
		d.open(3, time.Now())
		f(t, d)
	})
}

var life = assignment.Life{ID: "life-1", Service: service}

func poll(sequence int64) assignment.Poll {
	return assignment.Poll{Worker: "w", Agent: "a", Sequence: sequence, Term: 3, Life: &life, Listed: true}
}

var wantedRun = assignment.RunID{Task: job.TaskName{Job: "0000000000000001"}, Run: 1}

// publishOne publishes that one run is wanted.
func publishOne(d *desk) {
	d.publish(map[string]publication{"w": {
		life: "life-1", want: map[job.TaskName]wanted{wantedRun.Task: {start: assignment.Start{RunID: wantedRun}}},
	}})
}

func ask(t *testing.T, d *desk, p assignment.Poll) assignment.Answer {
	t.Helper()
	a, ok := d.serve(t.Context(), p)
	if !ok {
		t.Fatalf("the poll %d was not taken", p.Sequence)
	}
	return a
}

func TestDeskStarts(t *testing.T) {
	desked(t, func(t *testing.T, d *desk) {
		if a := ask(t, d, poll(1)); a.LeaseMillis == 0 || len(a.Start) != 0 {
			t.Errorf("before anything is published: %+v", a)
		}
		publishOne(d)
		if a := ask(t, d, poll(2)); len(a.Start) != 1 {
			t.Errorf("starts: %+v", a.Start)
		}
		p := poll(3)
		p.Runs = []assignment.Run{{RunID: wantedRun}, {RunID: assignment.RunID{Task: job.TaskName{Job: "0000000000000002"}, Run: 4}}}
		if a := ask(t, d, p); len(a.Start) != 0 || len(a.Stop) != 1 || a.Stop[0].Run != 4 {
			t.Errorf("want only a stop of what is not wanted, got %+v", a)
		}
		other := assignment.Life{ID: "life-2"}
		p = poll(4)
		p.Life = &other
		if a := ask(t, d, p); len(a.Start)+len(a.Stop) != 0 {
			t.Errorf("another life gets %+v", a)
		}
	})
}

// TestDeskProof: with an old proof of leadership nothing is leased and nothing started.
func TestDeskProof(t *testing.T) {
	desked(t, func(t *testing.T, d *desk) {
		ask(t, d, poll(1))
		publishOne(d)
		time.Sleep(d.timing.Proof + time.Millisecond)
		if a := ask(t, d, poll(2)); a.LeaseMillis != 0 || len(a.Start) != 0 {
			t.Errorf("with an old proof: %+v", a)
		}
		d.prove(time.Now())
		if a := ask(t, d, poll(3)); a.LeaseMillis == 0 || len(a.Start) != 1 {
			t.Errorf("with a new proof: %+v", a)
		}
	})
}

// TestDeskSeals: between the decision that a worker's lease is over and its publication the worker's agent may come back.
// It must get neither a lease nor an order then.
func TestDeskSeals(t *testing.T) {
	desked(t, func(t *testing.T, d *desk) {
		ask(t, d, poll(1))
		publishOne(d)
		time.Sleep(d.timing.over() + time.Millisecond)
		d.prove(time.Now())
		workers := map[string]bool{"w": true}
		if over := d.sealOver(workers, time.Now(), time.Time{}); !over["w"] {
			t.Fatal("the lease is not over")
		}
		if a := ask(t, d, poll(2)); a.LeaseMillis != 0 || len(a.Start) != 0 {
			t.Errorf("a sealed worker gets %+v", a)
		}
		d.publish(map[string]publication{"w": {life: "life-1"}})
		if a := ask(t, d, poll(3)); a.LeaseMillis == 0 || len(a.Start) != 0 {
			t.Errorf("after the publication it gets %+v", a)
		}
		if over := d.sealOver(workers, time.Now(), time.Time{}); over["w"] {
			t.Error("it is sealed although it was just given a lease")
		}
	})
}

// TestDeskUnreached: an agent that does not reach its worker gets no lease, so the worker counts as silent.
func TestDeskUnreached(t *testing.T) {
	desked(t, func(t *testing.T, d *desk) {
		publishOne(d)
		silent, none := poll(1), poll(2)
		silent.Silent, none.Life = true, nil
		for _, p := range []assignment.Poll{silent, none} {
			if a := ask(t, d, p); a.LeaseMillis != 0 {
				t.Errorf("%+v gets a lease", p)
			}
		}
	})
}

// TestDeskOvertaken: an older poll that comes after a newer one is not taken over, and its sender is not told that it was.
func TestDeskOvertaken(t *testing.T) {
	desked(t, func(t *testing.T, d *desk) {
		ask(t, d, poll(1))
		ask(t, d, poll(3))
		older := poll(2)
		older.Refused = []assignment.Refusal{{RunID: wantedRun}}
		ask(t, d, older)
		taken := d.take()["w"]
		if taken.Sequence != 3 {
			t.Errorf("the poll %d was taken over", taken.Sequence)
		}
		if a := ask(t, d, poll(4)); a.Heard != 0 {
			t.Errorf("%d was heard before anything was kept", a.Heard)
		}
		d.publish(map[string]publication{"w": {life: "life-1"}})
		if a := ask(t, d, poll(5)); a.Heard != 3 {
			t.Errorf("%d was heard, want 3", a.Heard)
		}
	})
}

// TestDeskAgents: another life of an agent gets a higher fence, and the former one is not listened to any more.
func TestDeskAgents(t *testing.T) {
	desked(t, func(t *testing.T, d *desk) {
		first := ask(t, d, poll(1))
		p := poll(1)
		p.Agent = "b"
		second := ask(t, d, p)
		if second.Fence <= first.Fence {
			t.Errorf("fences %d and %d", first.Fence, second.Fence)
		}
		if _, ok := d.serve(t.Context(), poll(2)); ok {
			t.Error("the former agent was answered")
		}
		newer := poll(9)
		newer.Agent, newer.Term = "b", 4
		if _, ok := d.serve(t.Context(), newer); ok {
			t.Error("an agent that follows a later term was answered")
		}
		d.close()
		if _, ok := d.serve(t.Context(), p); ok {
			t.Error("a closed desk answered")
		}
	})
}

// TestDeskHolds: a poll with nothing to say is held, and answered as soon as there is something.
func TestDeskHolds(t *testing.T) {
	desked(t, func(t *testing.T, d *desk) {
		ask(t, d, poll(1))
		d.publish(map[string]publication{"w": {life: "life-1"}})
		p := poll(2)
		p.Wait = true
		began := time.Now()
		if a := ask(t, d, p); time.Since(began) != d.timing.Hold || a.Held() != d.timing.Hold {
			t.Errorf("held for %v, told %v, want %v", time.Since(began), a.Held(), d.timing.Hold)
		}
		began = time.Now()
		go func() {
			time.Sleep(100 * time.Millisecond)
			publishOne(d)
		}()
		p.Sequence = 3
		if a := ask(t, d, p); time.Since(began) != 100*time.Millisecond || len(a.Start) != 1 {
			t.Errorf("answered after %v with %+v", time.Since(began), a.Start)
		}
	})
}
