package main

import (
	"fmt"
	"io"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/sessions/policy"
)

const policyUsage = `
A policy is one expression that decides one question: "allow" (may it use the system?), "not_repeatable" (must it run
at most once?) or "yield_rank" (what yields first? 0 to 100, lower yields first). It looks at kind, team, service,
bytes, session, accelerators, adjacency, urgent and work_seconds.

Put one in force with "config put policy/NAME FILE", where the file is the JSON that "check" reads.

Example:

  yarrowgrade policy check examples/parkomat/payments-once.json
`

type policyCommands struct {
	Check policyCheck `cmd:"" help:"Compile a policy. Nothing is changed, and no entry is asked."`
}

// Help implements kong.HelpProvider.
func (*policyCommands) Help() string { return policyUsage }

type policyCheck struct {
	File string `arg:"" help:"File with the policy as JSON; - for standard input."`
}

// Run implements the command.
func (c *policyCheck) Run(s *env) error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	var p policy.Policy
	if err := fault.Decode(data, &p); err != nil {
		return err
	}
	if err := p.Validate(); err != nil {
		return err
	}
	return s.print(p, func(w io.Writer) {
		fmt.Fprintf(w, "policy %s is good; it decides %s\n", p.Name, p.Decides)
	})
}
