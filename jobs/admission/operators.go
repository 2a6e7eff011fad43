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

// JobSummary is a job in the list for operators.
type JobSummary struct {
	ID       job.ID    `json:"id"`
	Queue    string    `json:"queue"`
	Team     string    `json:"team"`
	Priority int       `json:"priority"`
	Phase    string    `json:"phase"`
	Accepted time.Time `json:"accepted"`
}

// JobDetail is a job with those of its tasks that have been placed at least once.
type JobDetail struct {
	JobSummary
	Steps []job.Step   `json:"steps"`
	Tasks []TaskDetail `json:"tasks"`
	// Cordons are the cordoned zones, in which nothing of the job starts; none once it has ended.
	Cordons []catalog.Cordon `json:"cordons,omitempty"`
}

// TaskDetail is what has become of a task.
type TaskDetail struct {
	Name string `json:"name"`
	job.Task
}

// Operators serves operators' questions about jobs and about the configuration in force. It
// changes nothing.
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

// serveList lists the jobs. One whose submission can't be read is left out; serveOne answers
// with the error.
func (o *Operators) serveList(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
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

func (o *Operators) summary(j *job.Job) JobSummary {
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

func (o *Operators) serveOne(w http.ResponseWriter, _ *http.Request, ps httprouter.Params) {
	detail, err := o.detail(job.ID(ps.ByName("id")))
	if err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	jsonhttp.Write(w, http.StatusOK, detail)
}

// detail returns all that is known of a job.
func (o *Operators) detail(id job.ID) (JobDetail, error) {
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

// tasksOf decodes a job's stored progress, if there is any, into its tasks, sorted by name.
func tasksOf(id job.ID, progress []byte) ([]TaskDetail, error) {
	tasks := []TaskDetail{}
	if progress == nil {
		return tasks, nil
	}
	p, err := job.DecodeProgress(progress)
	if err != nil {
		return nil, err
	}
	p.Each(id, func(name job.TaskName, t *job.Task) {
		tasks = append(tasks, TaskDetail{Name: name.String(), Task: *t})
	})
	slices.SortFunc(tasks, func(a, b TaskDetail) int { return cmp.Compare(a.Name, b.Name) })
	return tasks, nil
}
