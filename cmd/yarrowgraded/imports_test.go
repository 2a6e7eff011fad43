package main

import (
	"os/exec"
	"strings"
	"testing"
)

const module = "yarrowgrade.example/yarrowgrade/"

// Formats of go list for the imports of a package, without and with those of its tests.
const (
	importsFormat    = `{{.ImportPath}}: {{join .Imports " "}}`
	allImportsFormat = `{{.ImportPath}}: {{join .Imports " "}} {{join .TestImports " "}} {{join .XTestImports " "}}`
)

// imports returns the imports of each package of the module. The format of go list selects the
// imports.
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

// TestImports checks that only commands import the adapter to the users' platform, and that the two
// schedulers share only internal packages, also in their tests.
func TestImports(t *testing.T) {
	tests := []struct {
		folder string
		// importers are the folders that may import it.
		importers []string
		format    string
	}{
		{"platform", []string{"platform", "cmd"}, importsFormat},
		{"jobs", []string{"jobs", "platform", "client", "cmd"}, allImportsFormat},
		{"sessions", []string{"sessions", "client", "cmd", "e2e"}, allImportsFormat},
		{"client", []string{"cmd", "e2e", "sessions/oracle"}, allImportsFormat},
		{"cmd", []string{}, allImportsFormat},
	}
	all := map[string]map[string][]string{
		importsFormat:    imports(t, importsFormat),
		allImportsFormat: imports(t, allImportsFormat),
	}
	for _, test := range tests {
		seen := false
		for name, list := range all[test.format] {
			for _, i := range list {
				if !inFolder(test.folder, strings.TrimPrefix(i, module)) {
					continue
				}
				seen = true
				if !inAnyFolder(test.importers, name) {
					t.Errorf("%s imports %s", name, i)
				}
			}
		}
		if !seen && len(test.importers) > 0 {
			t.Errorf("no package imports %s: the test uses a wrong folder name", test.folder)
		}
	}
}

// inFolder reports whether a package, given by its path in the module, is in a folder.
func inFolder(folder, name string) bool {
	return name == folder || strings.HasPrefix(name, folder+"/")
}

func inAnyFolder(folders []string, name string) bool {
	for _, f := range folders {
		if inFolder(f, name) {
			return true
		}
	}
	return false
}
