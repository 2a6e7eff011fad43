package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// current are the pages that say what is there today; TestDecisions looks at DECISIONS.md. Accounts of earlier work name the code of their time.
var current = []string{
	"ARCHITECTURE.md", "CAPACITY.md", "CONFIGURATION.md", "DESIGN.md", "GLOSSARY.md", "INTERFACES.md", "INVARIANTS.md",
	"MEASUREMENTS.md", "OPEN.md", "OPERATIONS.md", "../README.md", "../CONTRIBUTING.md",
}

// qualified finds names such as leader.Timing, directory.Leader.Incarnation and jobtest.TestSystem.
var qualified = regexp.MustCompile(`^([a-z]\w*)\.([A-Za-z]\w*(?:\.[A-Za-z]\w*)?)$`)

// TestNames: each name of code that a current page puts in backquotes, with its package before it, is declared there.
func TestNames(t *testing.T) {
	packages := declaredByPackage(t)
	for _, page := range current {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range names(string(text)) {
			m := qualified.FindStringSubmatch(strings.TrimSuffix(name, "()"))
			if m == nil || packages[m[1]] == nil {
				continue
			}
			if !packages[m[1]][m[2]] && filepath.Ext(name) != ".go" {
				t.Errorf("%s: there is no %s", page, name)
			}
		}
	}
}

// declaredByPackage returns what each package of the module declares, in its tests too, by the name of its folder.
func declaredByPackage(t *testing.T) map[string]map[string]bool {
	t.Helper()
	packages := map[string]map[string]bool{}
	for _, root := range []string{"jobs", "sessions", "internal", "platform", "client", "e2e", "cmd"} {
		err := filepath.WalkDir(filepath.Join("..", root), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || filepath.Ext(path) != ".go" {
				return err
			}
			name := filepath.Base(filepath.Dir(path))
			if packages[name] == nil {
				packages[name] = map[string]bool{}
			}
			return declareFile(path, packages[name])
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return packages
}
