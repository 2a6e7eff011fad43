// Command yarrowgraded is the daemon of yarrowgrade.
//
// # Usage
//
//	yarrowgraded dev          a complete system for sessions in one process, for a laptop
//	yarrowgraded entry        the process on an entry box
//	yarrowgraded agent        the process beside a target
//	yarrowgraded job-entry    the process on an entry box of the users' platform
//	yarrowgraded job-agent    the process beside a worker of the users' platform
//
// Every flag can be set by an environment variable, YARROWGRADE_ and the flag's name. SIGTERM and
// SIGINT start a planned stop, which finishes the requests in flight.
//
// entry and agent are the programs of the scheduler for sessions (folder sessions/); job-entry and
// job-agent are those of the scheduler for jobs on the users' platform (jobs/ and platform/).
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"yarrowgrade.example/yarrowgrade/internal/fault"
)

// exitInvalidSettings is the exit code for invalid settings. All other failures exit with 1.
const exitInvalidSettings = 2

type commands struct {
	Dev   devCommand   `cmd:"" help:"Run a whole system for sessions in this process, for a first look."`
	Entry entryCommand `cmd:"" help:"Run an entry: it takes requests and operators' calls and decides placements."`
	Agent agentCommand `cmd:"" help:"Run the agent beside a target, which takes part in gangs."`

	JobEntry jobEntryCommand `cmd:"" help:"Run an entry for jobs on the users' platform."`
	JobAgent jobAgentCommand `cmd:"" help:"Run the agent for jobs beside a worker of the users' platform."`
}

func main() {
	var c commands
	parser := kong.Must(&c,
		kong.Name("yarrowgraded"),
		kong.Description("The daemon of yarrowgrade, a scheduler for multi-accelerator jobs under team guarantees."),
		kong.DefaultEnvars("YARROWGRADE"),
		kong.UsageOnError(),
	)
	parsed, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "yarrowgraded: %v\n", err)
		os.Exit(exitInvalidSettings)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	if err := parsed.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "yarrowgraded: %v\n", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var setting *fault.Field
	if errors.As(err, &setting) {
		return exitInvalidSettings
	}
	return 1
}
