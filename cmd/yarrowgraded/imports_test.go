package main

import (
	"os/exec"
	"strings"
	"testing"
)

const module = "yarrowgrade.example/yarrowgrade/"

// imports returns what each package of the module imports, without its tests.
func imports(t *testing.T) map[string][]string {
	t.Helper()
	out, err := exec.Command("go", "list", "-f", "{{.ImportPath}}: {{join .Imports \" \"}}", module+"...").Output()
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

// TestImports: only commands know the folder that meets the users' platform, and the two schedulers share plumbing only.
func TestImports(t *testing.T) {
	tests := []struct {
		folder string
		// users are the folders that may import it.
		users []string
	}{
		{"platform", []string{"platform", "cmd"}},
		{"jobs", []string{"jobs", "platform", "client", "cmd"}},
		{"sessions", []string{"sessions", "client", "cmd"}},
		{"client", []string{"cmd"}},
		{"cmd", []string{}},
	}
	all := imports(t)
	for _, test := range tests {
		seen := false
		for name, list := range all {
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
