package entry

import (
	"reflect"
	"sync"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/membership"
)

// agentReport is what an agent last said in a poll.
type agentReport struct {
	membership.PollRequest
	at time.Time
}

// agentTable has what each agent last said. The control goroutine writes it; the status page
// reads it.
type agentTable struct {
	mu     sync.Mutex
	agents map[string]agentReport
}

// set takes in a poll and reports whether it says anything new.
func (t *agentTable) set(p membership.PollRequest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, found := t.agents[p.Worker]
	t.agents[p.Worker] = agentReport{PollRequest: p, at: time.Now()}
	// The revisions that an agent has are for the status page and make no work.
	p.Revision, p.ConfigRevision = old.Revision, old.ConfigRevision
	return !found || !reflect.DeepEqual(p, old.PollRequest)
}

func (t *agentTable) forget(worker string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.agents, worker)
}

// list returns the agents in no order.
func (t *agentTable) list() []agentReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]agentReport, 0, len(t.agents))
	for _, a := range t.agents {
		list = append(list, a)
	}
	return list
}
