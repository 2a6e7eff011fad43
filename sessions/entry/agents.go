package entry

import (
	"reflect"
	"sync"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/membership"
)

// agentReport is the newest poll of an agent and when it arrived.
type agentReport struct {
	membership.PollRequest
	at time.Time
}

// agentTable has the newest report of each agent that polls this entry. The control goroutine
// writes it; the status page reads it.
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
	// The revisions are only shown on the status page; a change of them needs no action.
	p.Revision, p.ConfigRevision = old.Revision, old.ConfigRevision
	return !found || !reflect.DeepEqual(p, old.PollRequest)
}

func (t *agentTable) forget(worker string) {
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
