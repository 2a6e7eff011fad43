// Command soak runs the real programs as separate processes on one machine under faults, while
// callers submit jobs, and checks what callers and workers see.
//
// Package platform/standin plays the users' platform in this process. All traffic of the programs
// goes through links that are cut in one or both directions, slowed down and reset. Processes are
// paused, killed, stopped and restarted. The store goes down, is slow, and loses answers. Workers
// crash, drain, become unreachable and carry out orders late. A second process of an agent starts while
// the first is paused, and both go on. Faults overlap. On every fourth day
// (a run of one seed is called a day) only planned stops, reloads and cordons happen, and no call
// may be cut or delayed by them.
//
// With --troubled some tasks also crash every worker that starts them, and the capacity of workers
// changes. With --same-ids workers restart all the time, mostly under the ID that they had before.
//
// # Usage
//
//	go build -o bin/ ./cmd/...
//	bin/soak --program bin/yarrowgraded --seeds 10 --parallel 3
//	bin/soak --program bin/yarrowgraded --seeds 10 --parallel 3 --troubled
//	bin/soak --program bin/yarrowgraded --seeds 10 --parallel 3 --same-ids
//	bin/soak --program bin/yarrowgraded --seed 7            one day again, with its logs in --logs
//
// It prints a line for each day, and a line for each violation, and for each call that was answered
// late since this process itself did not run. The same seed draws the same jobs
// and faults, but the machine schedules the processes, so a day doesn't repeat exactly. The exit
// code is 1 if a day had a violation.
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

// settings are the flags.
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
	Logs     string        `help:"Directory for the logs of days with violations." default:"soak-logs"`
}

// Validate implements kong.Validatable.
func (s *settings) Validate() error {
	least := map[string]int{"seeds": s.Seeds, "parallel": s.Parallel, "entries": s.Entries, "workers": s.Workers}
	for name, value := range least {
		if value < 1 {
			return fmt.Errorf("%s: want 1 or more, got %d", name, value)
		}
	}
	if s.Entries+s.Workers > maxProcesses {
		return fmt.Errorf("entries and workers: want at most %d processes in a day, got %d",
			maxProcesses, s.Entries+s.Workers)
	}
	return nil
}

// maxProcesses bounds the processes of a day.
const maxProcesses = 48

// errViolations means that a day had a violation.
var errViolations = errors.New("rules were violated")

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

// run plays all days and prints their results.
func run(ctx context.Context, s settings) error {
	days := pool.New().WithMaxGoroutines(s.Parallel).WithErrors()
	for n := range s.Seeds {
		seed := s.Seed + uint64(n)
		days.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return playOne(ctx, s, seed)
		})
	}
	return days.Wait()
}

// playOne plays a day and keeps its logs if it had a violation.
func playOne(ctx context.Context, s settings, seed uint64) error {
	logs := filepath.Join(s.Logs, fmt.Sprint(seed))
	if err := os.MkdirAll(logs, 0o700); err != nil {
		return err
	}
	began := time.Now()
	report, err := playDay(ctx, s, seed, logs)
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
