package oracle

import (
	"context"
	"fmt"
	"sync"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/hosting"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
)

// watchGangs records a violation for each gang of which only some members run for longer than
// timing.MaxStopDelay plus one second, until ctx ends. It compares the platform's list of tasks
// with the number of members in the placement.
func (s *system) watchGangs(ctx context.Context, sizes *sizes) {
	since := make(map[int64]time.Time)
	for ctx.Err() == nil {
		counts := make(map[int64]int)
		for i := range agentCount {
			tasks, err := s.platform.Tasks(ctx, workerName(i))
			if err != nil {
				continue
			}
			for _, task := range tasks {
				if task.State == hosting.TaskRunning {
					counts[task.Token]++
				}
			}
		}
		for token, n := range counts {
			if want, known := sizes.of(token); !known || n == want {
				delete(since, token)
				continue
			}
			if since[token].IsZero() {
				since[token] = time.Now()
			}
			if partial := time.Since(since[token]); partial > timing.MaxStopDelay()+time.Second {
				s.addViolation("gang %d has run with %d members for %v", token, n, partial)
				delete(since, token)
			}
		}
		for token := range since {
			if counts[token] == 0 {
				delete(since, token)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// sizes holds the number of members of each placement.
type sizes struct {
	mu sync.Mutex
	m  map[int64]int
}

func (z *sizes) of(token int64) (int, bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	n, found := z.m[token]
	return n, found
}

// watchStates records the violations that stateViolations finds in the states of the entries, every
// 100 ms until ctx ends. It also records the number of members of each placement in z. A revision
// lower than the previous one means that the entry was restarted.
func (s *system) watchStates(ctx context.Context, z *sizes, states func() []ledger.State) {
	newest := make(map[int]int64)
	for ctx.Err() == nil {
		for i, state := range states() {
			if state.Revision() < newest[i] {
				newest[i] = 0 // the entry was restarted and reads the log again
			}
			newest[i] = state.Revision()
			z.mu.Lock()
			for _, p := range state.Placements() {
				z.m[p.Token] = len(p.Members)
			}
			z.mu.Unlock()
			for _, violation := range stateViolations(state) {
				s.addViolation("revision %d: %s", state.Revision(), violation)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// stateViolations checks the invariants of a state: no accelerator has two holders, and placements
// are complete and belong to their sessions.
func stateViolations(state ledger.State) []string {
	var list []string
	held := make(map[string]int64)
	for _, p := range state.Placements() {
		count := 0
		for _, m := range p.Members {
			count += len(m.Accelerators)
			if p.IsReleased(m.Worker) {
				continue
			}
			w, _ := state.Worker(m.Worker)
			for _, a := range m.Accelerators {
				place := fmt.Sprintf("%s/%d", m.Worker, a)
				if other, taken := held[place]; taken {
					list = append(list, fmt.Sprintf("%s is held by %d and %d", place, other, p.Token))
				}
				held[place] = p.Token
				if w.Holders[a] != p.Token {
					list = append(list, fmt.Sprintf("%s should be held by %d, not %d", place, p.Token, w.Holders[a]))
				}
			}
		}
		if count != p.Shape.Accelerators {
			list = append(list, fmt.Sprintf("placement %d has %d of %d accelerators",
				p.Token, count, p.Shape.Accelerators))
		}
		session, found := state.Session(p.Session)
		if p.Phase != ledger.Stopping && (!found || session.Token != p.Token) {
			list = append(list, fmt.Sprintf("placement %d runs for session %s, which has token %d",
				p.Token, p.Session, session.Token))
		}
	}
	for _, session := range state.Sessions() {
		_, found := state.Placement(session.Token)
		if session.Phase == ledger.SessionPlaced && !found {
			list = append(list, fmt.Sprintf("session %s has placement %d, which does not exist", session.Name, session.Token))
		}
	}
	return list
}
