package jobtest_test

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
)

// TestShrunkWorkers: whatever strikes when the room of workers shrinks that do not guard it, nothing starts beyond it once the bound is over, and when it has
// grown again it is used. The stand-in workers check the bound.
func TestShrunkWorkers(t *testing.T) {
	tests := []struct {
		name   string
		strike func(s *system, leader *process)
		heal   time.Duration
	}{
		{"calm", func(*system, *process) {}, 0},
		{"leader frozen", func(s *system, e *process) { s.network.Freeze("http://" + e.name) }, 5 * time.Second},
		{"leader killed", func(s *system, e *process) { s.network.Kill("http://" + e.name); e.cancel() }, 0},
		{"leader cut off from the store", func(s *system, e *process) { s.setFault(e.name, jobtest.Fault{Silent: true}) }, 9 * time.Second},
		{"store silent", func(s *system, _ *process) { s.setFault("", jobtest.Fault{Silent: true}) }, 9 * time.Second},
		{"store slow", func(s *system, _ *process) { s.setFault("", jobtest.Fault{Delay: 600 * time.Millisecond}) }, 9 * time.Second},
		{"agents cut off from the leader", func(s *system, e *process) {
			for _, p := range s.agents {
				s.network.Cut("http://"+p.name, "http://"+e.name, true)
			}
		}, 6 * time.Second},
		{"orders wait at their agents", func(s *system, _ *process) {
			for _, w := range s.worker {
				w.SetUnreachable(true)
				time.AfterFunc(5*time.Second, func() { w.SetUnreachable(false) })
			}
		}, 5 * time.Second},
		{"operators' records silent for all", func(s *system, _ *process) {
			s.config.SetFault("", jobtest.Fault{Silent: true})
			s.config.SetFault("operator", jobtest.Fault{})
		}, 9 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			within(t, func(t *testing.T, s *system) {
				s.workers.Work = time.Second
				for _, w := range s.worker {
					w.AllowOvercommit()
				}
				s.submit(s.simpleJob(900, time.Second), 1)
				s.keepBusy(3 * time.Second)
				before := s.workers.StartsIn("zone-1")
				room := s.roomOf(0)
				test.strike(s, s.leader())
				for _, w := range s.worker {
					w.SetCapacity(job.Resources{CPU: room.CPU / 4, Memory: room.Memory / 4, Accelerators: room.Accelerators / 4})
				}
				time.AfterFunc(test.heal, func() {
					s.network.Heal()
					s.log.Heal()
					s.config.Heal()
				})
				s.keepBusy(15 * time.Second)
				shrunk := s.workers.StartsIn("zone-1") - before
				if shrunk == 0 {
					t.Error("nothing started in the room that is left: the test proves nothing")
				}
				for _, w := range s.worker {
					w.SetCapacity(room)
				}
				before = s.workers.StartsIn("zone-1")
				s.keepBusy(8 * time.Second)
				if grown := s.workers.StartsIn("zone-1") - before; grown <= shrunk {
					t.Errorf("%d started in 8 s of all the room, %d in 15 s of a quarter of it", grown, shrunk)
				}
			})
		})
	}
}

// roomOf is the room that a worker says it has.
func (s *system) roomOf(i int) job.Resources {
	life, _ := s.worker[i].Beat()
	return life.Capacity
}
