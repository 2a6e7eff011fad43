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

// JobSummary describes a job in the list for operators.
type JobSummary struct {
	ID       job.ID    `json:"id"`
	Queue    string    `json:"queue"`
	Team     string    `json:"team"`
	Priority int       `json:"priority"`
	Phase    string    `json:"phase"`
	Accepted time.Time `json:"accepted"`
}

// JobDetail describes a job with those of its tasks that have been placed at least once.
type JobDetail struct {
	JobSummary
	Steps []job.Step   `json:"steps"`
	Tasks []TaskDetail `json:"tasks"`
	// Cordons lists the cordoned availability zones, in which no task of the job starts. It is
	// empty once the job has ended.
	Cordons []catalog.Cordon `json:"cordons,omitempty"`
}

// TaskDetail is the execution state of a task.
type TaskDetail struct {
	Name string `json:"name"`
	job.Task
}

// OperatorHandler serves the read-only HTTP API with which operators inspect jobs and the current
// configuration.
type OperatorHandler struct {
	replica *jobstore.Replica
	catalog *catalog.Follower
}

// NewOperatorHandler returns a handler that reads from a replica and a catalog.
func NewOperatorHandler(r *jobstore.Replica, c *catalog.Follower) *OperatorHandler {
	return &OperatorHandler{replica: r, catalog: c}
}

// Register adds the routes to a router.
func (o *OperatorHandler) Register(r *httprouter.Router) {
	r.GET("/v1/jobs", o.serveList)
	r.GET("/v1/jobs/:id", o.serveJob)
	r.GET("/v1/status", o.serveStatus)
}

// serveList lists the jobs. It omits jobs whose submission cannot be decoded; for these serveJob
// returns the error.
func (o *OperatorHandler) serveList(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	list := []JobSummary{}
	for _, id := range o.replica.IDs() {
		stored, ok := o.replica.Job(id)
		if !ok {
			continue
		}
		if j, err := job.Decode(id, stored.Submission); err == nil {
			list = append(list, o.summary(j))
		}
	}
	jsonhttp.Write(w, http.StatusOK, list)
}

func (o *OperatorHandler) summary(j *job.Job) JobSummary {
	phase, _ := o.replica.Phase(j.ID)
	return JobSummary{
		ID:       j.ID,
		Queue:    j.Queue,
		Team:     j.Team,
		Priority: j.Priority,
		Phase:    phase.String(),
		Accepted: j.Accepted,
	}
}

func (o *OperatorHandler) serveJob(w http.ResponseWriter, _ *http.Request, ps httprouter.Params) {
	detail, err := o.detail(job.ID(ps.ByName("id")))
	if err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	jsonhttp.Write(w, http.StatusOK, detail)
}

// detail returns the details of a job.
func (o *OperatorHandler) detail(id job.ID) (JobDetail, error) {
	if err := id.Validate(); err != nil {
		return JobDetail{}, err
	}
	stored, ok := o.replica.Job(id)
	if !ok {
		return JobDetail{}, &jsonhttp.StatusError{Status: http.StatusNotFound, Message: "no such job"}
	}
	j, err := job.Decode(id, stored.Submission)
	if err != nil {
		return JobDetail{}, err
	}
	tasks, err := tasksOf(id, stored.Progress)
	if err != nil {
		return JobDetail{}, err
	}
	detail := JobDetail{JobSummary: o.summary(j), Steps: j.Steps, Tasks: tasks}
	if phase, _ := o.replica.Phase(id); !phase.Final() {
		detail.Cordons = o.cordons()
	}
	return detail, nil
}

// tasksOf decodes the tasks of a job from its stored progress, sorted by name. There are none if
// progress is nil.
func tasksOf(id job.ID, progress []byte) ([]TaskDetail, error) {
	tasks := []TaskDetail{}
	if progress == nil {
		return tasks, nil
	}
	p, err := job.DecodeProgress(progress)
	if err != nil {
		return nil, err
	}
	p.EachTask(id, func(name job.TaskName, t *job.Task) {
		tasks = append(tasks, TaskDetail{Name: name.String(), Task: *t})
	})
	slices.SortFunc(tasks, func(a, b TaskDetail) int { return cmp.Compare(a.Name, b.Name) })
	return tasks, nil
}
