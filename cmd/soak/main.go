// Command soak runs the real programs as separate processes on one machine and injects faults while
// callers submit jobs. It checks what callers and workers observe.
//
// Package platform/standin simulates the users' platform in this process. All traffic of the
// programs passes through links that are cut in one or both directions, slowed down and reset.
// Processes are paused, killed, stopped and restarted. The store fails, is slow, and loses answers.
// Workers crash, drain, become unreachable and carry out orders late. A second process of an agent
// starts while the first is paused, and then both run. Faults overlap.
//
// The run of one seed is called a scenario. A scenario whose seed is divisible by four has planned
// work only: stops, reloads and cordons, which must not cut or delay any call.
//
// With --troubled some tasks also crash every worker that starts them, and the capacity of workers
// changes. With --same-ids workers restart all the time, mostly under the ID that they had before.
// With --overload callers submit several times as many jobs as the workers can do, so that entries
// refuse some of them.
//
// # Usage
//
//	go build -o bin/ ./cmd/...
//	bin/soak --program bin/yarrowgraded --seeds 10 --parallel 3
//	bin/soak --program bin/yarrowgraded --seeds 10 --parallel 3 --troubled
//	bin/soak --program bin/yarrowgraded --seeds 10 --parallel 3 --same-ids
//	bin/soak --program bin/yarrowgraded --seeds 10 --parallel 3 --overload
//	bin/soak --program bin/yarrowgraded --seed 7        repeat one scenario, with its logs in --logs
//
// It prints a line for each scenario, for each violation, and for each call whose answer was read
// late because this process itself was stalled. The same seed generates the same jobs and faults,
// but the machine schedules the processes, so a scenario does not repeat exactly. The exit code is
// 1 if a scenario had a violation.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/sourcegraph/conc/pool"
)

const description = `Runs the real programs as separate processes under faults, and checks what callers and workers see.

Examples:

  soak --program bin/yarrowgraded --seeds 10 --parallel 3
  soak --program bin/yarrowgraded --seed 7 --logs /tmp/seven`

// settings are the command-line flags.
type settings struct {
	Program  string        `help:"Path of the daemon." default:"bin/yarrowgraded" type:"path"`
	Seed     uint64        `help:"First seed." default:"1"`
	Seeds    int           `help:"Number of days." default:"1"`
	Parallel int           `help:"How many days run at once; each is a dozen processes." default:"1"`
	Length   time.Duration `help:"How long faults are injected in a day." default:"20s"`
	Entries  int           `help:"Entries of a day." default:"3"`
	Workers  int           `help:"Workers of a day, each with its agent." default:"6"`
	Troubled bool          `help:"Let some tasks crash their workers, and change the capacity of workers."`
	SameIDs  bool          `help:"Restart workers all the time, mostly under the IDs that they had." name:"same-ids"`
	Overload bool          `help:"Submit several times as many jobs as the workers can do."`
	Logs     string        `help:"Directory for the logs of days with violations." default:"soak-logs"`
}

// maxJobPause returns the longest time between two submissions.
func (s *settings) maxJobPause() time.Duration {
	if s.Overload {
		return maxJobPause / overloadFactor
	}
	return maxJobPause
}

// Validate implements kong.Validatable.
func (s *settings) Validate() error {
	minimums := map[string]int{"seeds": s.Seeds, "parallel": s.Parallel, "entries": s.Entries, "workers": s.Workers}
	for name, value := range minimums {
		if value < 1 {
			return fmt.Errorf("%s: want 1 or more, got %d", name, value)
		}
	}
	if s.Entries+s.Workers > maxProcesses {
		return fmt.Errorf("entries and workers: want at most %d processes in a scenario, got %d",
			maxProcesses, s.Entries+s.Workers)
	}
	return nil
}

// maxProcesses is the maximum number of processes in a scenario.
const maxProcesses = 48

// errViolations means that a scenario had violations.
var errViolations = errors.New("violations found")

func main() {
	var s settings
	kong.Parse(&s, kong.Name("soak"), kong.Description(description), kong.DefaultEnvars("SOAK"))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, s); err != nil {
		fmt.Fprintf(os.Stderr, "soak: %v\n", err)
		os.Exit(1)
	}
}

// run runs all scenarios and prints their results.
func run(ctx context.Context, s settings) error {
	scenarios := pool.New().WithMaxGoroutines(s.Parallel).WithErrors()
	for n := range s.Seeds {
		seed := s.Seed + uint64(n)
		scenarios.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return runSeed(ctx, s, seed)
		})
	}
	return scenarios.Wait()
}

// runSeed runs the scenario of a seed and keeps its logs if it had a violation.
func runSeed(ctx context.Context, s settings, seed uint64) error {
	logs := filepath.Join(s.Logs, fmt.Sprint(seed))
	if err := os.MkdirAll(logs, 0o700); err != nil {
		return err
	}
	began := time.Now()
	report, err := runScenario(ctx, s, seed, logs)
	if err != nil {
		return fmt.Errorf("seed %d: %w", seed, err)
	}
	fmt.Printf("seed %d: %s, %.0f s\n", seed, report.summary(), time.Since(began).Seconds())
	for _, v := range slices.Concat(report.lateReadings, report.violations) {
		fmt.Printf("seed %d: %s\n", seed, v)
	}
	if len(report.violations) > 0 {
		return fmt.Errorf("seed %d: %w; logs in %s", seed, errViolations, logs)
	}
	return os.RemoveAll(logs)
}
