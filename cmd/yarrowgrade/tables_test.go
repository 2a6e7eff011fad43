package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"testing"

	"yarrowgrade.example/yarrowgrade/internal/goldentest"
)

// age matches elapsed times, which differ from run to run, and spaces the padding of columns, whose
// width depends on them.
var (
	age    = regexp.MustCompile(`\d+h\d+m\d+s`)
	spaces = regexp.MustCompile(` {2,}`)
)

// TestGoldenTables checks the tables that operators read, printed for answers of earlier versions.
func TestGoldenTables(t *testing.T) {
	tests := []struct {
		args []string
		path string
		// answer is the file of a golden record, which is wrapped in an array if list is set.
		answer string
		list   bool
	}{
		{[]string{"session", "list", "--all"}, "/v1/sessions", "sessions/entry/testdata/session-view.json", true},
		{
			[]string{"session", "show", "session-1"}, "/v1/sessions/session-1",
			"sessions/entry/testdata/session-view.json", false,
		},
		{[]string{"team", "list"}, "/v1/teams", "sessions/entry/testdata/team-view.json", true},
		{[]string{"worker", "list"}, "/v1/workers", "sessions/ledger/testdata/worker.json", true},
		{[]string{"config", "get"}, "/v1/config", "sessions/ledger/testdata/config-entry.json", true},
		{
			[]string{"config", "history", "placement"}, "/v1/config/placement",
			"sessions/ledger/testdata/config-entry.json", false,
		},
		{[]string{"status"}, "/v1/status", "sessions/entry/testdata/status.json", false},
		{[]string{"job", "list"}, "/v1/jobs", "jobs/admission/testdata/job-summary.json", true},
		{[]string{"job", "show", "a"}, "/v1/jobs/a", "jobs/admission/testdata/job-detail.json", false},
		{[]string{"job", "status"}, "/v1/status", "jobs/admission/testdata/status.json", false},
		{[]string{"job", "workers"}, "/v1/workers", "jobs/leader/testdata/worker-status.json", true},
	}
	var out bytes.Buffer
	for _, test := range tests {
		answer, err := os.ReadFile("../../" + test.answer)
		if err != nil {
			t.Fatal(err)
		}
		if test.list {
			answer = fmt.Appendf(nil, "[%s]", answer)
		}
		fmt.Fprintf(&out, "$ %v\n", test.args)
		out.Write(commandOutput(t, test.path, answer, test.args))
	}
	goldentest.Bytes(t, "tables.txt", out.Bytes())
}

// commandOutput runs a command against an entry that returns the answer at the path.
func commandOutput(t *testing.T, path string, answer []byte, args []string) []byte {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != path {
			t.Errorf("%v requests %s, want %s", args, r.URL.Path, path)
		}
		_, _ = w.Write(answer)
	}))
	defer server.Close()
	var out, errOut bytes.Buffer
	if code := run(append([]string{"--entry", server.URL}, args...), &out, &errOut); code != 0 {
		t.Fatalf("%v: exit code %d: %s", args, code, errOut.String())
	}
	return spaces.ReplaceAll(age.ReplaceAll(out.Bytes(), []byte("AGE")), []byte("  "))
}
