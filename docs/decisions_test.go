// Package docs_test checks that the names of code on the documentation pages exist.
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

// backquoted matches text in backquotes.
var backquoted = regexp.MustCompile("`([^`]+)`")

// TestDecisions checks that each file, function and constant that DECISIONS.md names exists, so
// that a rename cannot leave the page behind. A line "- Where:" names files, followed by functions
// of the packages of these files. A line "- Constants:" names constants, variables or fields of the
// same packages, or of the packages of files that it names.
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
			for _, name := range backquotedNames(line) {
				if strings.Contains(name, "/") {
					addDeclared(t, rule, name, declared)
				} else if !declared[name] {
					t.Errorf("%s: %s does not exist", rule, name)
				}
			}
		case strings.HasPrefix(line, "- Constants:"):
			for _, name := range backquotedNames(line) {
				if strings.Contains(name, "/") {
					addDeclared(t, rule, name, declared)
				} else if !declared[name] {
					t.Errorf("%s: constant %s does not exist", rule, name)
				}
			}
		}
	}
	if rules < 20 {
		t.Errorf("the page has %d rules, want at least 20: the check does not recognize them", rules)
	}
}

// backquotedNames returns the texts in backquotes of a line.
func backquotedNames(line string) []string {
	var list []string
	for _, m := range backquoted.FindAllStringSubmatch(line, -1) {
		list = append(list, m[1])
	}
	return list
}

// addDeclared adds the declarations of the package of a file: Name, Type.Method and Type.Field.
func addDeclared(t *testing.T, rule, file string, declared map[string]bool) {
	t.Helper()
	if _, err := os.Stat(filepath.Join("..", file)); err != nil {
		t.Errorf("%s: file %s does not exist", rule, file)
		return
	}
	sources, err := filepath.Glob(filepath.Join("..", filepath.Dir(file), "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, source := range sources {
		if err := addDeclaredInFile(source, declared); err != nil {
			t.Fatal(err)
		}
	}
}

// addDeclaredInFile adds the declarations of a Go file.
func addDeclaredInFile(path string, declared map[string]bool) error {
	parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	for _, d := range parsed.Decls {
		addDeclaration(d, declared)
	}
	return nil
}

func addDeclaration(d ast.Decl, declared map[string]bool) {
	switch d := d.(type) {
	case *ast.FuncDecl:
		declared[receiver(d)+d.Name.Name] = true
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			addSpec(spec, declared)
		}
	}
}

func addSpec(spec ast.Spec, declared map[string]bool) {
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

// receiver returns the type name of a method's receiver followed by a dot, or an empty string for a
// function.
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
