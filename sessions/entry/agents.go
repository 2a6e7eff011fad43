package entry

import (
	"reflect"
	"sync"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/membership"
)

// agentReport is the latest poll of an agent and its time of arrival.
type agentReport struct {
	membership.PollRequest
	at time.Time
}

// agentTable holds the latest report of each agent that polls this entry. The control goroutine
// writes it, and the status page reads it.
type agentTable struct {
	mu     sync.Mutex
	agents map[string]agentReport
}

// set stores a poll and reports whether it differs from the previous one.
func (t *agentTable) set(p membership.PollRequest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, found := t.agents[p.Worker]
	t.agents[p.Worker] = agentReport{PollRequest: p, at: time.Now()}
	// The revisions are only shown on the status page, so a change in them needs no action.
	p.Revision, p.ConfigRevision = old.Revision, old.ConfigRevision
	return !found || !reflect.DeepEqual(p, old.PollRequest)
}

func (t *agentTable) remove(worker string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.agents, worker)
}

// list returns the reports in no particular order.
func (t *agentTable) list() []agentReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]agentReport, 0, len(t.agents))
	for _, a := range t.agents {
		list = append(list, a)
	}
	return list
}
