package e2e

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// runProgram runs a program to completion and returns its exit code and output.
func runProgram(t *testing.T, name string, args ...string) (int, string) {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), filepath.Join(binaries, name), args...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	if cmd.ProcessState == nil {
		t.Fatalf("%s %v: %v", name, args, err)
	}
	return cmd.ProcessState.ExitCode(), out.String()
}

// TestBadSettings checks that a daemon with an invalid setting names the setting and its valid
// values.
func TestBadSettings(t *testing.T) {
	entry := []string{"entry", "--name", "e", "--zone", "z", "--platform", "http://127.0.0.1:1"}
	agent := []string{
		"agent", "--name", "w", "--zone", "z", "--rack", "r", "--accelerators", "8",
		"--platform", "http://127.0.0.1:1", "--entries", "http://127.0.0.1:1",
	}
	tests := []struct {
		args []string
		want string
	}{
		{[]string{"entry"}, "--name"},
		{append(entry, "--listen", "localhost:1"), "listen: want an IP address and a port"},
		{append(entry, "--peers", "127.0.0.1:1"), "address: want a URL"},
		{append(entry, "--prepare-timeout", "1ms"), "prepare-timeout: want 1s to 1m"},
		{append(entry, "--snapshot-records", "1"), "snapshot-records: want at least 10"},
		{append(entry, "--log-level", "loud"), "log-level: want trace"},
		{append(agent, "--accelerators", "65"), "accelerators: want 0 to 64"},
		{append(agent, "--service", "s"), "target: want a URL"},
		{
			append(agent, "--service", "s", "--target", "http://127.0.0.1:1", "--connections", "0"),
			"connections: want 1 to 10000",
		},
		{append(agent, "--gang-lease", "1s"), "gang-lease: want at least twice the beat"},
		{append(agent, "--name", "UPPER"), "name: want 1 to 63"},
	}
	for _, tt := range tests {
		if code, out := runProgram(t, "yarrowgraded", tt.args...); code != 2 || !strings.Contains(out, tt.want) {
			t.Errorf("%v: exit %d, want 2 with %q:\n%s", tt.args, code, tt.want, out)
		}
	}
}

// TestClient runs each command of the command-line tool against a cluster.
func TestClient(t *testing.T) {
	c := newCluster(t)
	c.putTeam(plates)
	file := func(name, text string) string {
		path := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	limits := file("limits.json", `{"queue_length": 7}`)
	tests := []struct {
		args string
		code int
		want string
	}{
		{"status", 0, "reachable"},
		{"worker list", 0, "worker-6"},
		{"team list", 0, "1 × 16 in one rack"},
		{"team show plates", 0, "plates"},
		{"team show nobody", 1, `no team "nobody"`},
		{"config put limits " + limits, 0, "limits is at revision"},
		{"config put limits " + limits, 1, "someone else changed it"},
		{"config put limits " + file("bad.json", `{"queue": 7}`), 2, "unknown field"},
		{"config get limits", 0, "queue_length"},
		{"config history limits", 0, "queue_length"},
		{"config get", 0, "team/plates"},
		{"policy check ../examples/parkomat/payments-once.json", 0, "not_repeatable"},
		{"policy check " + file("policy.json", `{"name":"p","decides":"allow","source":"team =="}`), 2, "line 1"},
		{"session create s1 --team plates --accelerators 16 --adjacency rack", 0, "s1"},
		{"session create s1 --team plates --accelerators 16 --adjacency rack", 0, "s1"},
		{"session create s1 --team plates --accelerators 8", 1, "exists already"},
		{"session create s2 --team plates --accelerators 64", 0, "s2"},
		{"session create s3 --team plates --accelerators 65", 2, "shape.accelerators"},
		{"explain s2", 0, "No place in the system is large enough"},
		{"session list", 0, "s2"},
		{"session show s1", 0, "16 in one rack"},
		{"--json session show s1", 0, `"team": "plates"`},
		{"session cancel s2", 0, "cancelled"},
		{"session cancel s2", 1, "cancelled already"},
		{"request send --service parkpay --team plates hello", 0, "ran hello"},
		{"request send --service parkpay --team plates --not-repeatable pay", 0, "key"},
		{"request send --service nobody --team plates hello", 3, "not_run"},
		{"request send --service parkpay --team nobody hello", 2, "team"},
		{"request send --service parkpay --team plates --key w~x~01900000-0000-7000-8000-000000000000 hello", 4, "unknown"},
		{"nonsense", 2, "unexpected argument"},
	}
	for _, tt := range tests {
		args := append([]string{"--entry", c.entries[0].address}, strings.Fields(tt.args)...)
		if code, out := runProgram(t, "yarrowgrade", args...); code != tt.code || !strings.Contains(out, tt.want) {
			t.Errorf("%s: exit %d, want %d with %q:\n%s", tt.args, code, tt.code, tt.want, out)
		}
	}
	code, out := runProgram(t, "yarrowgrade", "--entry", "http://127.0.0.1:1", "status")
	if code != 1 || !strings.Contains(out, "client.Status (peer http://127.0.0.1:1)") {
		t.Errorf("status of an entry that does not listen: exit %d:\n%s", code, out)
	}
}
