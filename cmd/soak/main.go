// Command soak runs the real programs as separate processes on one machine and lets faults strike them from outside, while
// callers hand in jobs. It checks what callers and workers see.
//
// The users' platform is played by package platform/standin in this process. What the programs send to it and to each other
// goes through links that are cut one way or both, slowed down and reset; processes are paused, killed, stopped and started
// again by signals, in series and overlapping; the store goes down, is slow, and loses answers; workers crash, leave, go
// silent and carry out orders late. On troubled days some tasks crash each worker that starts them, and workers' rooms shrink and grow. On days of same ids
// workers start again under the ids that they had, all the time.
//
// # Usage
//
//	go build -o bin/ ./cmd/...
//	bin/soak --program bin/yarrowgraded --seeds 10 --parallel 3
//	bin/soak --program bin/yarrowgraded --seeds 10 --parallel 3 --troubled
//	bin/soak --program bin/yarrowgraded --seeds 10 --parallel 3 --same-ids
//	bin/soak --program bin/yarrowgraded --seed 7            one day again, with its logs in --logs
//
// A line for each day says what was broken. The same seed draws the same jobs and faults, but processes are scheduled by the
// machine, so a day does not repeat exactly. It exits with 1 if a day broke something.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/sourcegraph/conc/pool"
)

const description = `Runs the real programs as separate processes, lets faults strike them, and checks what callers and workers see.

Examples:

  soak --program bin/yarrowgraded --seeds 10 --parallel 3
  soak --program bin/yarrowgraded --seed 7 --logs /tmp/seven`

// settings are the soak's flags.
type settings struct {
	Program  string        `help:"Path of the daemon." default:"bin/yarrowgraded" type:"path"`
	Seed     uint64        `help:"First seed." default:"1"`
	Seeds    int           `help:"Number of days." default:"1"`
	Parallel int           `help:"How many days run at once; each is a dozen processes." default:"1"`
	Length   time.Duration `help:"How long faults strike in a day." default:"20s"`
	Entries  int           `help:"Entries of a day." default:"3"`
	Workers  int           `help:"Workers of a day, each with its agent." default:"6"`
	Troubled bool          `help:"Some tasks crash the workers that start them, and workers' rooms shrink and grow."`
	SameIDs  bool          `help:"Workers start again under the ids that they had, all the time." name:"same-ids"`
	Logs     string        `help:"Directory that keeps the logs of days that broke something." default:"soak-logs"`
}

// Validate implements kong.Validatable.
func (s *settings) Validate() error {
	for name, value := range map[string]int{"seeds": s.Seeds, "parallel": s.Parallel, "entries": s.Entries, "workers": s.Workers} {
		if value < 1 {
			return fmt.Errorf("%s: want 1 or more, got %d", name, value)
		}
	}
	if s.Entries+s.Workers > maxProcesses {
		return fmt.Errorf("entries and workers: want at most %d processes in a day, got %d", maxProcesses, s.Entries+s.Workers)
	}
	return nil
}

// maxProcesses bounds the processes of a day.
const maxProcesses = 48

// errBroken says that a day broke something.
var errBroken = errors.New("something was broken")

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

// run plays all days and prints a line for each.
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

// playOne plays a day and keeps its logs if it broke something.
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
	for _, b := range report.broken {
		fmt.Printf("seed %d: %s\n", seed, b)
	}
	if len(report.broken) > 0 {
		return fmt.Errorf("seed %d: %w; logs in %s", seed, errBroken, logs)
	}
	return os.RemoveAll(logs)
}
