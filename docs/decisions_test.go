// Package docs_test checks that the pages name code that exists.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// quoted finds what stands in backquotes.
var quoted = regexp.MustCompile("`([^`]+)`")

// TestDecisions: each file, function and constant that the page of decisions names exists, so that a rename can't leave the page behind.
// A line "- Where:" names files and then functions of the packages of these files; "- Constants:" names constants, variables
// or fields of the same packages, or of those of files that it names.
func TestDecisions(t *testing.T) {
	page, err := os.ReadFile("DECISIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	rules, rule := 0, ""
	var declared map[string]bool
	for line := range strings.Lines(string(page)) {
		switch {
		case strings.HasPrefix(line, "### "):
			rules++
			rule, declared = strings.TrimSpace(line[4:]), nil
		case strings.HasPrefix(line, "- Where:"):
			declared = map[string]bool{}
			for _, name := range names(line) {
				if strings.Contains(name, "/") {
					declare(t, rule, name, declared)
				} else if !declared[name] {
					t.Errorf("%s: there is no %s", rule, name)
				}
			}
		case strings.HasPrefix(line, "- Constants:"):
			for _, name := range names(line) {
				if strings.Contains(name, "/") {
					declare(t, rule, name, declared)
				} else if !declared[name] {
					t.Errorf("%s: there is no constant %s", rule, name)
				}
			}
		}
	}
	if rules < 20 {
		t.Errorf("the page has %d rules; the check looks in the wrong place", rules)
	}
}

// names returns what a line has in backquotes.
func names(line string) []string {
	var list []string
	for _, m := range quoted.FindAllStringSubmatch(line, -1) {
		list = append(list, m[1])
	}
	return list
}

// declare adds what the package of a file declares: Name, Type.Method and Type.Field.
func declare(t *testing.T, rule, file string, declared map[string]bool) {
	t.Helper()
	if _, err := os.Stat(filepath.Join("..", file)); err != nil {
		t.Errorf("%s: there is no file %s", rule, file)
		return
	}
	sources, err := filepath.Glob(filepath.Join("..", filepath.Dir(file), "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, source := range sources {
		if err := declareFile(source, declared); err != nil {
			t.Fatal(err)
		}
	}
}

// declareFile adds what a file of Go declares.
func declareFile(path string, declared map[string]bool) error {
	parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	for _, d := range parsed.Decls {
		declareOne(d, declared)
	}
	return nil
}

func declareOne(d ast.Decl, declared map[string]bool) {
	switch d := d.(type) {
	case *ast.FuncDecl:
		declared[receiver(d)+d.Name.Name] = true
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			declareSpec(spec, declared)
		}
	}
}

func declareSpec(spec ast.Spec, declared map[string]bool) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range s.Names {
			declared[name.Name] = true
		}
	case *ast.TypeSpec:
		declared[s.Name.Name] = true
		var members *ast.FieldList
		switch t := s.Type.(type) {
		case *ast.StructType:
			members = t.Fields
		case *ast.InterfaceType:
			members = t.Methods
		default:
			return
		}
		for _, f := range members.List {
			for _, name := range f.Names {
				declared[s.Name.Name+"."+name.Name] = true
			}
		}
	}
}

// receiver is the type of a method and a dot, or nothing for a function.
func receiver(d *ast.FuncDecl) string {
	if d.Recv == nil {
		return ""
	}
	t := d.Recv.List[0].Type
	if p, ok := t.(*ast.StarExpr); ok {
		t = p.X
	}
	if g, ok := t.(*ast.IndexExpr); ok {
		t = g.X
	}
	if name, ok := t.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}
