package main

import (
	"fmt"
	"strings"
	"time"
)

// Bounds of the rules, as the pages state them for the small deployments.
const (
	drainLimit  = 2000 * time.Millisecond
	cancelLimit = 3000 * time.Millisecond
)

// startsAfterDraining checks the rule DRAIN: no worker begins a task later than drainLimit after the
// heartbeat in which it first said that it drains was acknowledged. Orders that a worker carried out
// late don't count.
func startsAfterDraining(ws *world) string {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	for _, s := range ws.begun {
		acked := s.worker.drainAcked
		if !s.late && !acked.IsZero() && s.at.After(acked.Add(drainLimit)) {
			return fmt.Sprintf("DRAIN: %s began %s run %d at %.3f s, %.3f s after its draining was acknowledged",
				s.worker.name, s.task, s.run, s.at.Sub(ws.trace.began).Seconds(), s.at.Sub(acked).Seconds())
		}
	}
	return ""
}

// failedWithoutCause checks the rule LOST: a job appears as failed only if a task of it has failed as
// often as its queue allows.
func failedWithoutCause(ws *world, id, state string, maxAttempts int) string {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	most, counts := 0, map[string]int{}
	for _, e := range ws.ended {
		if strings.HasPrefix(e.task, id) && e.how == "failed" {
			counts[e.task]++
			most = max(most, counts[e.task])
		}
	}
	ws.trace.log("case", "job %s is %s; of each of its tasks at most %d runs have ended failed", id, state, most)
	if state != "failed" || most >= maxAttempts {
		return ""
	}
	return fmt.Sprintf("LOST: job %s appears as failed; of each of its tasks at most %d runs have ended failed, its queue allows %d",
		id, most, maxAttempts)
}

// neverStarted checks the rule LOST: at the end no job has had nothing running for 3 s although it could
// run. The caller has waited for longer than that, and for more than finish_s, with room for at least
// twice what the jobs need.
func (c *cluster) neverStarted(prefix string, ids ...string) string {
	broken := ""
	for _, id := range ids {
		state := c.state(0, prefix, id)
		starts := 0
		c.world.mu.Lock()
		for _, s := range c.world.begun {
			if strings.HasPrefix(s.task, id) {
				starts++
			}
		}
		c.world.mu.Unlock()
		c.trace.log("case", "job %s is %s; %d of its tasks were started", id, state, starts)
		if starts == 0 && broken == "" {
			broken = fmt.Sprintf("LOST: job %s was accepted and has nothing running; its state is %s", id, state)
		}
	}
	return broken
}

// unreadEnds checks the rule Acks: of the ends that workers listed more than a given time ago, at most a
// fifth are not taken note of.
func unreadEnds(ws *world, age time.Duration) string {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	listed, unread := 0, 0
	for _, e := range ws.ended {
		if time.Since(e.at) < age {
			continue
		}
		listed++
		if e.number > e.worker.seen {
			unread++
		}
	}
	ws.trace.log("case", "of the %d ends that are older than %v, %d are not taken note of", listed, age, unread)
	if unread*5 <= listed {
		return ""
	}
	return fmt.Sprintf("Acks: of the %d ends that workers listed more than %v ago, %d are not taken note of", listed, age, unread)
}

// startsAfterCancel checks the rule UNASKED: no task of a job starts more than cancelLimit after the cancel
// of the job was answered.
func startsAfterCancel(ws *world, id string, answered time.Time, status int) string {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	for _, s := range ws.begun {
		if strings.HasPrefix(s.task, id) && s.at.After(answered.Add(cancelLimit)) {
			return fmt.Sprintf("UNASKED: %s began %s run %d %.3f s after the cancel of its job was answered with %d",
				s.worker.name, s.task, s.run, s.at.Sub(answered).Seconds(), status)
		}
	}
	return ""
}
