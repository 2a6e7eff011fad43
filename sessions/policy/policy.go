// Package policy validates and evaluates the expressions with which operators control who may use
// the system, which sessions are reclaimed first, and which requests must not be repeated.
//
// A policy is an expression in the expr language that answers one Question about a Subject, which
// is a request or a session:
//
//	allow           boolean: whether the subject may use the system. All allow policies must be true.
//	not_repeatable  boolean: whether the subject must run at most once. One true policy is
//	                sufficient.
//	yield_rank      integer from 0 to 100: subjects with a lower rank are reclaimed first. The
//	                highest rank of all policies applies.
//
// The package owns no state; the ledger stores the policies. The only dependency is the expr
// library.
//
// # Usage
//
//	set := policy.NewSet(policies, onFailure)
//	once, name := set.NotRepeatable(policy.Subject{Kind: policy.RequestKind, Service: "parkpay"})
//
// # Limits
//
// A program has at most maxNodes nodes and no loops: Validate rejects ranges and functions that
// iterate over lists. A program that fails at run time yields the safe result: not allowed, not
// repeatable, reclaimed last.
package policy

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/file"
	"github.com/expr-lang/expr/vm"

	"yarrowgrade.example/yarrowgrade/internal/fault"
)

// Question identifies what a policy decides.
type Question string

// The questions that a policy can decide.
const (
	Allow         Question = "allow"
	NotRepeatable Question = "not_repeatable"
	YieldRank     Question = "yield_rank"
)

// Limits of a policy.
const (
	maxNodes = 200
	// maxSource is the maximum length of the source in bytes.
	maxSource = 4 << 10
	// MaxYieldRank is the highest rank. Subjects with this rank are reclaimed last.
	MaxYieldRank = 100
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Policy is a policy as published by an operator.
type Policy struct {
	Name    string   `json:"name"`
	Decides Question `json:"decides"`
	Source  string   `json:"source"`
}

// Subject is the input of a policy. Fields that do not apply to the kind of the subject are empty.
type Subject struct {
	// Kind is "request" or "session".
	Kind    string `expr:"kind"`
	Team    string `expr:"team"`
	Service string `expr:"service"`
	// Bytes is the length of the request body.
	Bytes int `expr:"bytes"`
	// Session is the name of a session.
	Session      string `expr:"session"`
	Accelerators int    `expr:"accelerators"`
	Adjacency    string `expr:"adjacency"`
	Urgent       bool   `expr:"urgent"`
	WorkSeconds  int    `expr:"work_seconds"`
}

// Kinds of subjects.
const (
	RequestKind = "request"
	SessionKind = "session"
)

// Validate compiles the policy. The error is a *fault.Field with the position in the source.
func (p Policy) Validate() error {
	_, err := p.compile()
	return err
}

// iteratingBuiltins are the functions of the expr language that iterate over lists.
var iteratingBuiltins = []string{
	"all", "none", "any", "one", "filter", "map", "count", "sum", "find", "findIndex", "findLast", "findLastIndex",
	"groupBy", "sortBy", "reduce", "repeat", "split", "splitAfter", "flatten", "concat", "join",
}

func (p Policy) compile() (*vm.Program, error) {
	if !namePattern.MatchString(p.Name) {
		return nil, fault.BadField("name", "want 1 to 63 of a-z, 0-9, '.', '_' and '-', got %q", p.Name)
	}
	if strings.TrimSpace(p.Source) == "" {
		return nil, fault.BadField("source", "must not be empty")
	}
	if len(p.Source) > maxSource {
		return nil, fault.BadField("source", "want at most %d bytes, got %d", maxSource, len(p.Source))
	}
	want, found := resultKinds[p.Decides]
	if !found {
		return nil, fault.BadField("decides", "want %s, %s or %s, got %q", Allow, NotRepeatable, YieldRank, p.Decides)
	}
	// The optimizer may remove ranges and constant results, so these are checked in a program that
	// is compiled without it.
	plain, err := expr.Compile(p.Source, append(options(), expr.Optimize(false))...)
	if err != nil {
		return nil, sourceError(err)
	}
	if got := plain.Node().Type(); got.Kind() != want {
		return nil, fault.BadField("source", "want a result of type %s, got %s", want, got)
	}
	if err := checkRanges(plain.Node()); err != nil {
		return nil, err
	}
	program, err := expr.Compile(p.Source, options()...)
	if err != nil {
		return nil, sourceError(err)
	}
	return program, nil
}

// resultKinds maps each question to the type of its result.
var resultKinds = map[Question]reflect.Kind{
	Allow:         reflect.Bool,
	NotRepeatable: reflect.Bool,
	YieldRank:     reflect.Int,
}

func options() []expr.Option {
	list := []expr.Option{expr.Env(Subject{}), expr.MaxNodes(maxNodes)}
	for _, name := range iteratingBuiltins {
		list = append(list, expr.DisableBuiltin(name))
	}
	return list
}

func sourceError(err error) error {
	var at *file.Error
	if errors.As(err, &at) {
		return fault.BadField("source", "line %d, column %d: %s", at.Line, at.Column+1, at.Message)
	}
	return fault.BadField("source", "%v", err)
}

// rangeFinder is a visitor that detects the range operator, the only loop that is not a function.
type rangeFinder struct{ found bool }

// Visit implements ast.Visitor.
func (f *rangeFinder) Visit(n *ast.Node) {
	if b, ok := (*n).(*ast.BinaryNode); ok && b.Operator == ".." {
		f.found = true
	}
}

func checkRanges(root ast.Node) error {
	f := &rangeFinder{}
	ast.Walk(&root, f)
	if f.found {
		return fault.BadField("source", "ranges (..) are not allowed")
	}
	return nil
}

// compiledPolicy is a policy with its program, which is nil if this version cannot compile the
// policy.
type compiledPolicy struct {
	policy  Policy
	program *vm.Program
}

// Set is a set of compiled policies. It is immutable.
type Set struct {
	compiled []compiledPolicy
	// onFailure is called for each policy that does not compile or fails at run time.
	onFailure func(policy string, err error)
}

// NewSet compiles the policies. onFailure, which may be nil, is called for each policy that
// does not compile, and later for each that fails at run time.
func NewSet(policies []Policy, onFailure func(policy string, err error)) *Set {
	if onFailure == nil {
		onFailure = func(string, error) {}
	}
	s := &Set{onFailure: onFailure}
	for _, p := range policies {
		program, err := p.compile()
		if err != nil {
			onFailure(p.Name, err)
		}
		s.compiled = append(s.compiled, compiledPolicy{policy: p, program: program})
	}
	return s
}

// Allowed reports whether all allow policies are true for the subject. Otherwise it also returns
// the name of the first policy that is not.
func (s *Set) Allowed(subject Subject) (bool, string) {
	for _, r := range s.compiled {
		if r.policy.Decides != Allow {
			continue
		}
		if allowed, err := run[bool](r, subject); err != nil || !allowed {
			s.reportFailure(r, err)
			return false, r.policy.Name
		}
	}
	return true, ""
}

// NotRepeatable reports whether a policy requires that the subject runs at most once. If so, it
// also returns the name of that policy.
func (s *Set) NotRepeatable(subject Subject) (bool, string) {
	for _, r := range s.compiled {
		if r.policy.Decides != NotRepeatable {
			continue
		}
		once, err := run[bool](r, subject)
		s.reportFailure(r, err)
		if err != nil || once {
			return true, r.policy.Name
		}
	}
	return false, ""
}

// YieldRank returns the rank of the subject in the order of reclaiming, from 0 to MaxYieldRank.
func (s *Set) YieldRank(subject Subject) int {
	highest := 0
	for _, r := range s.compiled {
		if r.policy.Decides != YieldRank {
			continue
		}
		rank, err := run[int](r, subject)
		s.reportFailure(r, err)
		if err != nil {
			rank = MaxYieldRank
		}
		highest = max(highest, min(max(rank, 0), MaxYieldRank))
	}
	return highest
}

func (s *Set) reportFailure(r compiledPolicy, err error) {
	if err != nil {
		s.onFailure(r.policy.Name, err)
	}
}

func run[T any](r compiledPolicy, subject Subject) (T, error) {
	var zero T
	if r.program == nil {
		return zero, errors.New("does not compile")
	}
	out, err := expr.Run(r.program, subject)
	if err != nil {
		return zero, fmt.Errorf("policy.run: %w", err)
	}
	value, ok := out.(T)
	if !ok {
		return zero, fmt.Errorf("policy.run: want %T, got %T", zero, out)
	}
	return value, nil
}
