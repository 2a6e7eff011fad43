package leader

import (
	"cmp"
	"net/http"
	"slices"

	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// WorkersPath is the path at which the leader lists the known workers.
const WorkersPath = "/v1/workers"

// WorkerStatus is the leader's view of a worker.
type WorkerStatus struct {
	Worker      string         `json:"worker"`
	Incarnation incarnation.ID `json:"life"`
	Zone        string         `json:"zone"`
	Rack        string         `json:"rack"`
	Service     string         `json:"service"`
	// Draining is set if the worker accepts no new runs, Unresponsive if it does not answer its
	// agent.
	Draining     bool `json:"leaving"`
	Unresponsive bool `json:"silent"`
	// Capacity is the capacity that the worker reports. It may change while the worker runs.
	Capacity job.Resources `json:"room"`
	// Runs is the number of runs that the agent lists.
	Runs int `json:"runs"`
	// Cordon is the cordon of the worker's zone, or nil if the zone is not cordoned.
	Cordon *catalog.Cordon `json:"cordon,omitempty"`
	// Former lists earlier incarnations of the worker seen by this leader, newest first.
	Former []incarnation.ID `json:"former,omitempty"`
}

// ServeWorkers responds with 200 and a list of WorkerStatus, or with 409 if this entry does not
// lead.
func (c *Candidate) ServeWorkers(w http.ResponseWriter, _ *http.Request) {
	list, ok := c.fleet.status()
	if !ok {
		jsonhttp.WriteError(w, &jsonhttp.StatusError{
			Status:  http.StatusConflict,
			Message: "only the entry that leads knows the workers; it is at " + c.redirect().Address,
		})
		return
	}
	jsonhttp.Write(w, http.StatusOK, list)
}

// status returns the workers that have reported their state in this term, sorted by name. It
// returns false if this entry does not lead.
func (f *fleet) status() (list []WorkerStatus, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cordons, _ := f.cordons()
	list = []WorkerStatus{}
	for name, w := range f.workers {
		if w.reports.newest.State != nil {
			list = append(list, w.status(name, cordons))
		}
	}
	slices.SortFunc(list, func(a, b WorkerStatus) int { return cmp.Compare(a.Worker, b.Worker) })
	return list, f.term != 0
}

// status returns the status of a worker whose state is known.
func (w *worker) status(name string, cordons catalog.Cordons) WorkerStatus {
	poll := w.reports.newest
	state := poll.State
	s := WorkerStatus{
		Worker:       name,
		Incarnation:  state.ID,
		Zone:         state.Zone,
		Rack:         state.Rack,
		Service:      state.Service,
		Draining:     state.Draining,
		Unresponsive: poll.Unresponsive,
		Capacity:     state.Capacity,
		Runs:         len(poll.Runs),
		Former:       slices.Clone(w.history.former),
	}
	if cordon, cordoned := cordons[state.Zone]; cordoned {
		s.Cordon = &cordon
	}
	return s
}
