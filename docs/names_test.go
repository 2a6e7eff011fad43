package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// currentPages are the pages that describe the current state; TestDecisions checks DECISIONS.md.
// Pages about earlier work name the code of their time.
var currentPages = []string{
	"ARCHITECTURE.md", "CAPACITY.md", "CONFIGURATION.md", "DESIGN.md", "GLOSSARY.md", "INTERFACES.md", "INVARIANTS.md",
	"MEASUREMENTS.md", "OPEN.md", "OPERATIONS.md", "../README.md", "../CONTRIBUTING.md",
}

// qualifiedName matches names such as leader.Timing, directory.Leader.Incarnation and
// jobtest.TestSystem.
var qualifiedName = regexp.MustCompile(`^([a-z]\w*)\.([A-Za-z]\w*(?:\.[A-Za-z]\w*)?)$`)

// TestNames checks that each qualified name in backquotes on a current page is declared in its
// package.
func TestNames(t *testing.T) {
	packages := declaredByPackage(t)
	for _, page := range currentPages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range backquotedNames(string(text)) {
			m := qualifiedName.FindStringSubmatch(strings.TrimSuffix(name, "()"))
			if m == nil || packages[m[1]] == nil {
				continue
			}
			if !packages[m[1]][m[2]] && filepath.Ext(name) != ".go" {
				t.Errorf("%s: %s does not exist", page, name)
			}
		}
	}
}

// declaredByPackage returns the declarations of each package of the module, including those in its
// tests, by the name of the package's folder.
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
			return addDeclaredInFile(path, packages[name])
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return packages
}
