package admission

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/julienschmidt/httprouter"

	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobstore"
)

// JobSummary is a job as operators list it.
type JobSummary struct {
	ID       job.ID    `json:"id"`
	Queue    string    `json:"queue"`
	Team     string    `json:"team"`
	Priority int       `json:"priority"`
	Phase    string    `json:"phase"`
	Accepted time.Time `json:"accepted"`
}

// JobDetail is a job with its tasks that have been placed at least once.
type JobDetail struct {
	JobSummary
	Steps []job.Step   `json:"steps"`
	Tasks []TaskDetail `json:"tasks"`
	// Cordons are the cordoned availability zones, in which nothing of the job starts; none once it has ended.
	Cordons []catalog.Cordon `json:"cordons,omitempty"`
}

// TaskDetail is what has become of a task.
type TaskDetail struct {
	Name string `json:"name"`
	job.Task
}

// Operators serves operators' questions about jobs, and about what they have put in force. It changes nothing.
type Operators struct {
	replica *jobstore.Replica
	catalog *catalog.Follower
}

// NewOperators returns the handlers of operators' questions.
func NewOperators(r *jobstore.Replica, c *catalog.Follower) *Operators {
	return &Operators{replica: r, catalog: c}
}

// Register adds the routes.
func (o *Operators) Register(r *httprouter.Router) {
	r.GET("/v1/jobs", o.serveList)
	r.GET("/v1/jobs/:id", o.serveOne)
	r.GET("/v1/status", o.serveStatus)
}

func (o *Operators) serveList(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	list := []JobSummary{}
	for _, id := range o.replica.IDs() {
		if v, ok := o.replica.Job(id); ok {
			if j, err := job.Decode(id, v.Submission); err == nil {
				list = append(list, o.summary(j))
			}
		}
	}
	jsonhttp.Write(w, http.StatusOK, list)
}

func (o *Operators) summary(j *job.Job) JobSummary {
	phase, _ := o.replica.Phase(j.ID)
	return JobSummary{ID: j.ID, Queue: j.Queue, Team: j.Team, Priority: j.Priority, Phase: phase.String(), Accepted: j.Accepted}
}

func (o *Operators) serveOne(w http.ResponseWriter, _ *http.Request, ps httprouter.Params) {
	id := job.ID(ps.ByName("id"))
	if err := id.Validate(); err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	v, ok := o.replica.Job(id)
	if !ok {
		jsonhttp.WriteError(w, &jsonhttp.StatusError{Status: http.StatusNotFound, Message: "no such job"})
		return
	}
	j, err := job.Decode(id, v.Submission)
	if err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	detail := JobDetail{JobSummary: o.summary(j), Steps: j.Steps, Tasks: []TaskDetail{}}
	if v.Progress != nil {
		p, err := job.DecodeProgress(v.Progress)
		if err != nil {
			jsonhttp.WriteError(w, err)
			return
		}
		p.Each(id, func(name job.TaskName, t *job.Task) {
			detail.Tasks = append(detail.Tasks, TaskDetail{Name: name.String(), Task: *t})
		})
	}
	if phase, _ := o.replica.Phase(id); !phase.Final() {
		detail.Cordons = o.cordons()
	}
	slices.SortFunc(detail.Tasks, func(a, b TaskDetail) int { return cmp.Compare(a.Name, b.Name) })
	jsonhttp.Write(w, http.StatusOK, detail)
}
