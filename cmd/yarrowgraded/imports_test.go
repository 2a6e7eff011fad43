package main

import (
	"os/exec"
	"strings"
	"testing"
)

const module = "yarrowgrade.example/yarrowgrade/"

// Formats of go list: what a package imports, without and with its tests.
const (
	ofPackage  = `{{.ImportPath}}: {{join .Imports " "}}`
	ofItsTests = `{{.ImportPath}}: {{join .Imports " "}} {{join .TestImports " "}} {{join .XTestImports " "}}`
)

// imports returns the imports of each package of the module, as the format of go list says.
func imports(t *testing.T, format string) map[string][]string {
	t.Helper()
	out, err := exec.Command("go", "list", "-f", format, module+"...").Output()
	if err != nil {
		t.Fatal(err)
	}
	found := map[string][]string{}
	for line := range strings.Lines(string(out)) {
		name, list, _ := strings.Cut(strings.TrimSpace(line), ": ")
		found[strings.TrimPrefix(name, module)] = strings.Fields(list)
	}
	return found
}

// TestImports: only commands import the adapter to the users' platform, and the two schedulers
// share internal packages only, also in their tests.
func TestImports(t *testing.T) {
	tests := []struct {
		folder string
		// users are the folders that may import it.
		users  []string
		format string
	}{
		{"platform", []string{"platform", "cmd"}, ofPackage},
		{"jobs", []string{"jobs", "platform", "client", "cmd"}, ofItsTests},
		{"sessions", []string{"sessions", "client", "cmd", "e2e"}, ofItsTests},
		{"client", []string{"cmd", "e2e", "sessions/oracle"}, ofItsTests},
		{"cmd", []string{}, ofItsTests},
	}
	all := map[string]map[string][]string{ofPackage: imports(t, ofPackage), ofItsTests: imports(t, ofItsTests)}
	for _, test := range tests {
		seen := false
		for name, list := range all[test.format] {
			for _, i := range list {
				if !in(test.folder, strings.TrimPrefix(i, module)) {
					continue
				}
				seen = true
				if !inAny(test.users, name) {
					t.Errorf("%s imports %s", name, i)
				}
			}
		}
		if !seen && len(test.users) > 0 {
			t.Errorf("nobody imports %s: the check looks in the wrong place", test.folder)
		}
	}
}

// in reports whether a package, named from the module's root, is in a folder.
func in(folder, name string) bool {
	return name == folder || strings.HasPrefix(name, folder+"/")
}

func inAny(folders []string, name string) bool {
	for _, f := range folders {
		if in(f, name) {
			return true
		}
	}
	return false
}
