package main

import (
	"fmt"
	"io"
	"strings"

	"yarrowgrade.example/yarrowgrade/sessions/ledger"
)

const workerUsage = `
A worker is a machine. The last column has a character for each accelerator: "." is free, "#" is held.

Example:

  yarrowgrade worker list
`

type workerCommands struct {
	List workerList `cmd:"" help:"List workers, one line each."`
}

// Help implements kong.HelpProvider.
func (*workerCommands) Help() string { return workerUsage }

type workerList struct{}

// Run implements the command.
func (c *workerList) Run(s *env) error {
	list, err := s.client.Workers(s.ctx)
	if err != nil {
		return err
	}
	return s.print(list, func(w io.Writer) {
		fmt.Fprintln(w, "WORKER\tZONE\tRACK\tSERVICE\tSLOTS\tSTATE\tACCELERATORS")
		for _, v := range list {
			row(w, v.Name, v.Zone, v.Rack, v.Service, v.Slots, workerState(v), holderText(v))
		}
	})
}

func workerState(w ledger.Worker) string {
	if w.Leaving {
		return "leaving"
	}
	return "live"
}

func holderText(w ledger.Worker) string {
	var b strings.Builder
	for _, h := range w.Holders {
		if h == 0 {
			b.WriteByte('.')
			continue
		}
		b.WriteByte('#')
	}
	return b.String()
}
