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

// WorkersPath is where the leader lists the workers that it knows.
const WorkersPath = "/v1/workers"

// WorkerStatus is a worker as the leader knows it.
type WorkerStatus struct {
	Worker  string         `json:"worker"`
	Life    incarnation.ID `json:"life"`
	Zone    string         `json:"zone"`
	Rack    string         `json:"rack"`
	Service string         `json:"service"`
	// Draining says that the worker takes no new runs, Silent that it does not answer its agent.
	Draining bool `json:"leaving"`
	Silent   bool `json:"silent"`
	// Capacity is what the worker reports as its own; it may change while the worker runs.
	Capacity job.Resources `json:"room"`
	// Runs is how many runs the agent lists.
	Runs int `json:"runs"`
	// Cordon is that of the worker's zone, nil if the zone is open.
	Cordon *catalog.Cordon `json:"cordon,omitempty"`
	// Former are earlier incarnations of the worker that this leader has seen, the newest first.
	Former []incarnation.ID `json:"former,omitempty"`
}

// ServeWorkers answers 200 with a list of WorkerStatus, or 409 if this entry does not lead.
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

// status lists the workers that have reported in this term, by name; false if this entry does not
// lead.
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

// status is that of a worker whose state is known.
func (w *worker) status(name string, cordons catalog.Cordons) WorkerStatus {
	poll := w.reports.newest
	state := poll.State
	s := WorkerStatus{
		Worker:   name,
		Life:     state.ID,
		Zone:     state.Zone,
		Rack:     state.Rack,
		Service:  state.Service,
		Draining: state.Draining,
		Silent:   poll.Unresponsive,
		Capacity: state.Capacity,
		Runs:     len(poll.Runs),
		Former:   slices.Clone(w.history.former),
	}
	if cordon, cordoned := cordons[state.Zone]; cordoned {
		s.Cordon = &cordon
	}
	return s
}
