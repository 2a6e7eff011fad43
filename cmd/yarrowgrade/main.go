// Command yarrowgrade is the command-line client of yarrowgrade for operators.
//
// # Usage
//
//	yarrowgrade status
//	yarrowgrade session create night-plates --team plates --accelerators 16 --adjacency rack
//	yarrowgrade explain night-plates
//
// # Exit codes
//
//	0  success
//	1  the entry refused the call or could not be reached
//	2  the command line or a field of the input is invalid
//	3  a request's outcome is not_run
//	4  a request's outcome is unknown
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"yarrowgrade.example/yarrowgrade/client"
	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
)

// Exit codes; see the package comment.
const (
	exitFailed  = 1
	exitInvalid = 2
	exitNotRun  = 3
	exitUnknown = 4
)

type commands struct {
	Entry   string        `help:"Base URL of an entry." default:"http://127.0.0.1:7100"`
	JSON    bool          `help:"Print JSON for scripts instead of tables."`
	Timeout time.Duration `help:"How long to wait for an answer." default:"10s"`

	Session sessionCommands `cmd:"" help:"Create, list, show and cancel sessions."`
	Team    teamCommands    `cmd:"" help:"Show teams and what they use of their guarantees."`
	Config  configCommands  `cmd:"" help:"Read and change the configuration: teams, policies, limits, placement."`
	Policy  policyCommands  `cmd:"" help:"Check policies before they are put into force."`
	Worker  workerCommands  `cmd:"" help:"List workers and what is on them."`
	Request requestCommands `cmd:"" help:"Send requests to targets."`
	Status  statusCommand   `cmd:"" help:"Show the configuration and the state of each entry and agent."`
	Explain explainCommand  `cmd:"" help:"Say why a session waits."`
	Job     jobCommands     `cmd:"" help:"List and show jobs on the users' platform."`
	Trace   traceCommand    `cmd:"" help:"Merge the log lines about one id from several processes."`
	Losses  lossesCommand   `cmd:"" help:"Sum up from logs the work that was lost, why, and for whom."`
}

// env is the environment in which a command runs.
type env struct {
	ctx    context.Context
	client *client.Client
	out    io.Writer
	json   bool
}

// exitError ends the program with an exit code, without an error message.
type exitError struct{ code int }

// Error implements error.
func (e exitError) Error() string { return fmt.Sprintf("exit %d", e.code) }

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes one command line and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	var c commands
	parser := kong.Must(&c,
		kong.Name("yarrowgrade"),
		kong.Description("The operators' client of yarrowgrade, a scheduler for gangs under team guarantees."),
		kong.DefaultEnvars("YARROWGRADE"),
		kong.Writers(out, errOut),
	)
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(errOut, "yarrowgrade: %v\n", err)
		return exitInvalid
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	s := &env{ctx: ctx, client: client.New(c.Entry, http.DefaultClient), out: out, json: c.JSON}
	return exitCode(parsed.Run(s), errOut)
}

func exitCode(err error, errOut io.Writer) int {
	if err == nil {
		return 0
	}
	var exit exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	fmt.Fprintf(errOut, "yarrowgrade: %v\n", err)
	var field *fault.Field
	var status *jsonhttp.StatusError
	if errors.As(err, &field) || (errors.As(err, &status) && status.Status == http.StatusBadRequest) {
		return exitInvalid
	}
	return exitFailed
}

// print prints a value as JSON, or as the table that rows writes.
func (s *env) print(value any, rows func(w io.Writer)) error {
	if s.json {
		encoder := json.NewEncoder(s.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	rows(w)
	return w.Flush()
}

// row writes the cells of one line of a table.
func row(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, c)
	}
	fmt.Fprintln(w)
}

// ago returns the time elapsed since a time in milliseconds since 1970.
func ago(millis int64) string {
	return time.Since(time.UnixMilli(millis)).Round(time.Second).String()
}
