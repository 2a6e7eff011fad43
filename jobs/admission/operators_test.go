package admission_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/jobs/admission"
	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobstore"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// cordonedCatalog returns a follower of a configuration in which zone-1 is cordoned.
func cordonedCatalog(t *testing.T) *catalog.Follower {
	log := jobtest.NewLog(1)
	records := []topic.Record{{Key: "config", Value: []byte("1")}, {Key: "zone-1", Value: []byte("{}")}}
	if _, err := log.Client("o").Append(t.Context(), records, topic.Condition{}); err != nil {
		t.Fatal(err)
	}
	f := catalog.NewFollower(log.Client("e"), catalog.Format{
		ConfigKey:    "config",
		DecodeConfig: func([]byte) (*catalog.Catalog, error) { return catalog.Catalog{Version: 1}.WithIndex(), nil },
		CordonedZone: func(key string) (string, bool) { return key, key != "config" },
		CheckCordon:  func([]byte) error { return nil },
	}, zerolog.Nop())
	go f.Run(t.Context())
	for cordons, syncedAt := f.Cordons(); len(cordons) == 0 || syncedAt.IsZero(); cordons, syncedAt = f.Cordons() {
		time.Sleep(time.Millisecond)
	}
	return f
}

func TestOperators(t *testing.T) {
	j := &job.Job{ID: "00000000000000ab", Queue: "q", Team: "t", Steps: []job.Step{{Tasks: 2}}, Accepted: time.Unix(0, 0)}
	submission, err := jobstore.SubmissionRecord(j)
	if err != nil {
		t.Fatal(err)
	}
	p := job.NewProgress()
	p.Assign(time.Now(), job.TaskName{Job: j.ID, Index: 1}, 3, "worker-7", incarnation.ID{Instance: "life"})
	progress, err := jobstore.ProgressRecord(j.ID, p)
	if err != nil {
		t.Fatal(err)
	}
	replica := jobstore.NewReplica(jobtest.NewLog(1).Client("e"), func() int { return 1 }, zerolog.Nop())
	replica.ApplyLocal([]topic.Record{submission, progress}, 0)
	router := httprouter.New()
	admission.NewOperatorHandler(replica, cordonedCatalog(t)).Register(router)
	tests := []struct {
		path   string
		status int
		answer string
	}{
		{"/v1/jobs", http.StatusOK, `"phase":"running"`},
		{"/v1/jobs/00000000000000ab", http.StatusOK, `"name":"00000000000000ab.0.0.1","r":3,"w":"worker-7"`},
		{"/v1/jobs/00000000000000cd", http.StatusNotFound, "no such job"},
		{"/v1/jobs/00000000000000ab", http.StatusOK, `"cordons":[{"zone":"zone-1","revision":1,`},
		{"/v1/status", http.StatusOK, `"version":1,"proof_ms":`},
		{"/v1/status", http.StatusOK, `"cordons":[{"zone":"zone-1","revision":1,`},
		{"/v1/jobs/x", http.StatusBadRequest, `"field":"id"`},
	}
	for _, test := range tests {
		t.Run(test.path, func(t *testing.T) {
			w := httptest.NewRecorder()
			router.ServeHTTP(w, httptest.NewRequest(http.MethodGet, test.path, nil))
			if w.Code != test.status || !strings.Contains(w.Body.String(), test.answer) {
				t.Errorf("got %d %s, want %d with %s", w.Code, w.Body, test.status, test.answer)
			}
		})
	}
}
