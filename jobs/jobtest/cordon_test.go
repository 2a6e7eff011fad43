package jobtest_test

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
)

// keepBusy submits small jobs for a while, so that runs start all the time.
func (s *system) keepBusy(length time.Duration) {
	for began := time.Now(); time.Since(began) < length; time.Sleep(150 * time.Millisecond) {
		s.submitAside(s.simpleJob(7, time.Second))
	}
}

// submitAside submits a job without waiting for the answer.
func (s *system) submitAside(j *job.Job) {
	s.workers.Expect(j)
	at := s.entries[s.number%entryCount].admission
	go func() {
		a, err := at.Admit(host, "/q1/"+string(j.ID), "key")
		if err == nil {
			copied := *j
			// Only where runs start matters, not whether the job is accepted.
			_ = at.Submit(s.ctx, a, &copied)
		}
	}()
}

// heldRead is longer than reads of operators' records are held: a fault of the store that begins
// this long before a record hides it.
const heldRead = 600 * time.Millisecond

// cordonCase is what fails while a zone is cordoned.
type cordonCase struct {
	name   string
	strike func(s *system, leader *process)
	// ahead is how long before the cordon it strikes; heal, how long after it everything is healed.
	ahead, heal time.Duration
}

// TestCordon: whatever fails after operators were told that an availability zone is cordoned,
// nothing starts there after the bound, and after the cordon ends runs start there again. The
// workers check the bound.
func TestCordon(t *testing.T) {
	tests := []cordonCase{
		{"calm", func(*system, *process) {}, 0, 0},
		{"leader frozen", func(s *system, e *process) { s.network.Freeze("http://" + e.name) }, 0, 4 * time.Second},
		{"leader killed", (*system).kill, 0, 0},
		{"leader cut off from the store", func(s *system, e *process) {
			s.setFault(e.name, jobtest.Fault{Silent: true})
		}, heldRead, 9 * time.Second},
		{"operators' records silent for all", func(s *system, _ *process) {
			s.failOperatorLog(jobtest.Fault{Silent: true})
		}, heldRead, 12 * time.Second},
		{"operators' records refused for all", func(s *system, _ *process) {
			s.failOperatorLog(jobtest.Fault{Refuse: true})
		}, heldRead, 12 * time.Second},
		{"store slow", func(s *system, _ *process) {
			s.setFault("", jobtest.Fault{Delay: 600 * time.Millisecond})
		}, heldRead, 9 * time.Second},
		{"store silent", func(s *system, _ *process) {
			s.setFault("", jobtest.Fault{Silent: true})
		}, heldRead, 9 * time.Second},
		{"agents cut off from the leader", (*system).cutAgents, 0, 6 * time.Second},
		{"history gone", func(s *system, e *process) {
			s.setFault(e.name, jobtest.Fault{Refuse: true})
			s.config.Expire()
		}, heldRead, 4 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			within(t, func(t *testing.T, s *system) { playCordon(t, s, test) })
		})
	}
}

// playCordon cordons a zone of a busy system, while something fails, and opens it again.
func playCordon(t *testing.T, s *system, c cordonCase) {
	t.Helper()
	s.workers.Work = time.Second
	s.submit(s.simpleJob(900, time.Second), 1)
	s.keepBusy(3 * time.Second)
	if s.workers.StartsIn("zone-1") == 0 {
		t.Error("nothing started in the zone before it is cordoned: the test proves nothing")
	}
	c.strike(s, s.leader())
	time.Sleep(c.ahead)
	s.cordon("zone-1")
	time.AfterFunc(c.heal, s.heal)
	open := s.workers.StartsIn("zone-0")
	s.keepBusy(15 * time.Second)
	if n := s.workers.RunningIn("zone-1"); n > 0 {
		t.Errorf("%d tasks of a second run in the zone 15 s after it was cordoned", n)
	}
	if s.workers.StartsIn("zone-0") == open {
		t.Error("nothing started in the open zone")
	}
	closed := s.workers.StartsIn("zone-1")
	s.uncordon("zone-1")
	s.keepBusy(4 * time.Second)
	if s.workers.StartsIn("zone-1") == closed {
		t.Error("nothing started in the zone 4 s after the cordon was taken away")
	}
}

// TestCordonOrderInHand: an agent with an order, that then reaches neither its worker nor the
// leader, doesn't carry the order out after the cordon's bound, even if its lease would allow it.
func TestCordonOrderInHand(t *testing.T) {
	within(t, func(t *testing.T, s *system) {
		for _, w := range s.worker {
			w.SetUnreachable(true)
		}
		j := s.simpleJob(12, time.Second)
		s.submit(j, 1)
		time.Sleep(200 * time.Millisecond)
		for _, e := range s.entries {
			s.cutAgents(e)
		}
		// Polls that were held at the cut are answered by now.
		time.Sleep(600 * time.Millisecond)
		s.cordon("zone-0")
		s.cordon("zone-1")
		time.Sleep(jobtest.CordonBound + 100*time.Millisecond)
		for _, w := range s.worker {
			w.SetUnreachable(false)
		}
		time.Sleep(2 * time.Second)
		if s.workers.Starts > 0 {
			t.Errorf("%d runs started", s.workers.Starts)
		}
		s.uncordon("zone-0")
		s.uncordon("zone-1")
		s.network.Heal()
		s.completed(j.ID, 20*time.Second)
	})
}

// TestCordonTakenAway: a cordon that is ended and put back within a second holds; one whose end was
// lost with the history is noticed as ended; while all availability zones are cordoned, everything
// waits and nothing is lost.
func TestCordonTakenAway(t *testing.T) {
	within(t, func(t *testing.T, s *system) {
		s.cordon("zone-1")
		s.uncordon("zone-1")
		time.Sleep(300 * time.Millisecond)
		s.cordon("zone-1")
		s.cordon("zone-0")
		time.Sleep(jobtest.CordonBound)
		j := s.simpleJob(2, time.Second)
		s.submit(j, 1)
		time.Sleep(5 * time.Second)
		if s.workers.Starts > 0 {
			t.Errorf("%d runs started with all zones cordoned", s.workers.Starts)
		}
		s.setFault("", jobtest.Fault{Refuse: true})
		s.uncordon("zone-0")
		s.config.Expire()
		time.Sleep(time.Second)
		s.setFault("", jobtest.Fault{})
		s.completed(j.ID, 10*time.Second)
		if s.workers.RunningIn("zone-1") > 0 {
			t.Error("the zone that is still cordoned got work")
		}
	})
}

// TestCordonSurvivesRestart: after a loss of power of everything a cordon still holds.
func TestCordonSurvivesRestart(t *testing.T) {
	within(t, func(t *testing.T, s *system) {
		s.cordon("zone-0")
		s.cordon("zone-1")
		s.loseAll()
		j := s.simpleJob(2, time.Second)
		time.Sleep(2 * time.Second)
		s.submit(j, 1)
		time.Sleep(8 * time.Second)
		if s.workers.Starts > 0 {
			t.Errorf("%d runs started with all zones cordoned", s.workers.Starts)
		}
		s.uncordon("zone-0")
		s.completed(j.ID, 10*time.Second)
	})
}
