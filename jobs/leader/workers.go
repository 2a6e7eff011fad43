package leader

import (
	"cmp"
	"net/http"
	"slices"

	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// WorkersPath is where the leader lists the workers that it knows.
const WorkersPath = "/v1/workers"

// WorkerStatus is a worker as the leader knows it.
type WorkerStatus struct {
	Worker  string         `json:"worker"`
	Life    incarnation.ID `json:"life"`
	Zone    string         `json:"zone"`
	Rack    string         `json:"rack"`
	Service string         `json:"service"`
	// Draining says that the worker takes no new work, Silent that its agent gets no answer from it.
	Draining bool `json:"leaving"`
	Silent   bool `json:"silent"`
	// Capacity is what it says it has; it may shrink and grow while it runs.
	Capacity job.Resources `json:"room"`
	// Runs is how many runs its agent lists. In a cordoned zone they go on, and none is added.
	Runs int `json:"runs"`
	// Cordon is that of its zone, nil if the zone is open.
	Cordon *catalog.Cordon `json:"cordon,omitempty"`
	// Former are lives of the worker that are over, the newest first, as far as this leader has seen them.
	Former []incarnation.ID `json:"former,omitempty"`
}

// mostFormer is how many former lives of a worker are remembered for operators.
const mostFormer = 5

// noteLife keeps the life that a poll lists for operators. The lock must be held.
func (p *agentLease) noteLife(poll assignment.Poll) {
	if poll.State == nil || !poll.Complete || p.life == poll.State.ID {
		return
	}
	if !p.life.IsZero() {
		p.formerLives = slices.Insert(p.formerLives, 0, p.life)
		p.formerLives = p.formerLives[:min(len(p.formerLives), mostFormer)]
	}
	p.life = poll.State.ID
}

// ServeWorkers lists the workers, or says where the leader is.
func (c *Candidate) ServeWorkers(w http.ResponseWriter, _ *http.Request) {
	list, ok := c.leases.workers()
	if !ok {
		jsonhttp.WriteError(w, &jsonhttp.StatusError{
			Status: http.StatusConflict, Message: "only the entry that leads knows the workers; it is at " + c.redirect().Address,
		})
		return
	}
	jsonhttp.Write(w, http.StatusOK, list)
}

// workers lists the workers that have reported in this term; false if this entry does not lead.
func (l *leases) workers() (list []WorkerStatus, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cordons, _ := l.cordons()
	list = []WorkerStatus{}
	for name, p := range l.agents {
		present := p.poll.State
		if present == nil {
			continue
		}
		s := WorkerStatus{
			Worker: name, Life: present.ID, Zone: present.Zone, Rack: present.Rack, Service: present.Service,
			Draining: present.Draining, Silent: p.poll.Unresponsive, Capacity: present.Capacity, Runs: len(p.poll.Runs), Former: slices.Clone(p.formerLives),
		}
		if cordon, cordoned := cordons[present.Zone]; cordoned {
			s.Cordon = &cordon
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b WorkerStatus) int { return cmp.Compare(a.Worker, b.Worker) })
	return list, l.term != 0
}
