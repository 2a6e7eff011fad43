package oracle

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"yarrowgrade.example/yarrowgrade/sessions/hosting"
	"yarrowgrade.example/yarrowgrade/sessions/hosting/standin"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/placement"
	"yarrowgrade.example/yarrowgrade/sessions/request"
)

// step is one action of a plan with its parameters. Depending on the action, A and B select
// processes, teams, shapes or faults, or scale a fault. For is the duration of a fault or a measure
// of work, and Wait is the delay before the next step.
type step struct {
	Do   string
	A, B int
	For  time.Duration
	Wait time.Duration
}

// actionNames lists the actions that a plan draws from. Repeated names are drawn more often.
var actionNames = []string{
	"create", "create", "create", "urgent", "cancel", "request", "request", "pay", "pay", "payTwice", "payAgain", "put",
	"killEntry", "killAgent", "freezeEntry", "freezeAgent", "cut", "cutAnswers", "cutLog", "killZone", "cutZone",
	"lieBoxes", "logDown", "logSlow", "loseAnswers", "expire", "targetFault", "loseWorker", "leave",
}

func drawPlan(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Do:   rapid.SampledFrom(actionNames).Draw(t, "do"),
			A:    rapid.IntRange(0, agentCount-1).Draw(t, "a"),
			B:    rapid.IntRange(0, agentCount-1).Draw(t, "b"),
			For:  time.Duration(rapid.IntRange(1, 20).Draw(t, "for")) * time.Second,
			Wait: time.Duration(rapid.IntRange(0, 4000).Draw(t, "wait")) * time.Millisecond,
		}
	}), 3, 25).Draw(t, "plan")
}

// sentRequest is a request of a plan with its outcomes, one for each response.
type sentRequest struct {
	body     string
	key      string
	outcomes []request.Answer
}

// execution is the state of a plan that is being executed.
type execution struct {
	*system
	mu       sync.Mutex
	requests []*sentRequest
	// accepted has the sessions whose creation was acknowledged, and cancelled those for which a
	// cancellation was requested.
	accepted    map[string]bool
	cancelled   map[string]bool
	puts        []putEvent
	lostWorkers map[int]bool
	leftWorkers map[int]bool
	number      int
	pending     sync.WaitGroup
}

// execute runs a plan in the caller's bubble and returns the violations.
func execute(t *testing.T, seed uint64, plan []step) []string {
	x := &execution{
		system: newSystem(t, seed), accepted: map[string]bool{}, cancelled: map[string]bool{},
		lostWorkers: map[int]bool{}, leftWorkers: map[int]bool{},
	}
	x.setUpTeams()
	z := &sizes{m: make(map[int64]int)}
	watching, stopWatching := context.WithCancel(x.ctx)
	entryStates := make(chan []ledger.State)
	x.wg.Go(func() { x.watchGangs(watching, z) })
	x.wg.Go(func() {
		x.watchStates(watching, z, func() []ledger.State {
			select {
			case states := <-entryStates:
				return states
			case <-watching.Done():
				return nil
			}
		})
	})
	x.wg.Go(func() { x.sendEntryStates(watching, entryStates) })
	for _, st := range plan {
		x.do(st)
		time.Sleep(st.Wait)
	}
	x.finish()
	stopWatching()
	x.stop()
	return x.foundViolations()
}

// sendEntryStates sends the current states of the entries to the watcher until ctx ends.
func (x *execution) sendEntryStates(ctx context.Context, out chan<- []ledger.State) {
	for {
		var states []ledger.State
		x.mu.Lock()
		for i := range entryCount {
			if s, found := x.state(i); found {
				states = append(states, s)
			}
		}
		x.mu.Unlock()
		select {
		case out <- states:
		case <-ctx.Done():
			return
		}
	}
}

// undoAfter calls undo after the given time.
func (x *execution) undoAfter(d time.Duration, undo func()) {
	x.pending.Go(func() {
		time.Sleep(d)
		x.mu.Lock()
		defer x.mu.Unlock()
		undo()
	})
}

func (x *execution) nextNumber() int {
	x.number++
	return x.number
}

// entry returns the index of the entry that the step selects.
func (st step) entry() int { return st.A % entryCount }

// actions maps the name of each action to its function. The functions do not wait for responses.
var actions = map[string]func(x *execution, st step){
	"create": func(x *execution, st step) { x.createSession(st, false) },
	"urgent": func(x *execution, st step) { x.createSession(st, true) },
	"cancel": func(x *execution, st step) { x.cancelSession(st) },
	"request": func(x *execution, st step) {
		x.send(&sentRequest{body: fmt.Sprintf("request %d", x.nextNumber())}, st.entry())
	},
	"pay":      func(x *execution, st step) { x.pay(st.entry()) },
	"payTwice": func(x *execution, _ step) { x.pay(0, 1) },
	"payAgain": func(x *execution, st step) { x.payAgain(st) },
	"put":      func(x *execution, st step) { x.put(st) },
	"killEntry": func(x *execution, st step) {
		x.killEntry(st.entry())
		x.undoAfter(st.For, func() { x.restartEntry(st.entry()) })
	},
	"killAgent": func(x *execution, st step) {
		x.killAgent(st.A)
		x.undoAfter(st.For, func() { x.restartAgent(st.A) })
	},
	"freezeEntry": func(x *execution, st step) { x.freeze(entryAddress(st.entry()), st.For) },
	"freezeAgent": func(x *execution, st step) { x.freeze(agentAddress(st.A), st.For) },
	"cut": func(x *execution, st step) {
		x.cut(agentAddress(st.A), agentAddress(st.B), st.For)
		x.cut(agentAddress(st.A), entryAddress(st.B%entryCount), st.For)
	},
	"cutAnswers": func(x *execution, st step) { x.cut(entryAddress(st.entry()), agentAddress(st.B), st.For) },
	"cutLog":     func(x *execution, st step) { x.cut(entryAddress(st.entry()), platformAddress, st.For) },
	"killZone":   func(x *execution, st step) { x.killZone(st.entry(), st.For) },
	"cutZone":    func(x *execution, st step) { x.cutZone(st.entry(), st.For) },
	"lieBoxes":   func(x *execution, st step) { x.addFalseBoxes(st) },
	"logDown":    func(x *execution, st step) { x.fault(standin.Faults{Down: true}, st.For) },
	"logSlow": func(x *execution, st step) {
		x.fault(standin.Faults{Delay: time.Duration(st.B) * 300 * time.Millisecond}, st.For)
	},
	"loseAnswers": func(x *execution, st step) { x.fault(standin.Faults{LoseAnswers: 1 + st.B}, st.For) },
	"expire":      func(x *execution, st step) { x.fault(standin.Faults{Retention: 40}, st.For) },
	"targetFault": func(x *execution, st step) { x.targets[st.A].set(targetFault(st.B % int(targetFaultCount))) },
	"loseWorker":  func(x *execution, st step) { x.loseWorker(st) },
	"leave":       func(x *execution, st step) { x.leave(st) },
}

// do starts the action of a step.
func (x *execution) do(st step) {
	x.mu.Lock()
	defer x.mu.Unlock()
	actions[st.Do](x, st)
}

func (x *execution) restartEntry(i int) {
	if _, found := x.entries[i]; !found {
		x.startEntry(i)
	}
}

func (x *execution) restartAgent(i int) {
	if _, found := x.agents[i]; !found && !x.lostWorkers[i] {
		x.startAgent(i)
	}
}

func (x *execution) freeze(address string, d time.Duration) {
	x.network.Freeze(address)
	x.undoAfter(d, func() { x.network.Thaw(address) })
}

func (x *execution) cut(from, to string, d time.Duration) {
	x.network.Cut(from, to, true)
	x.undoAfter(d, func() { x.network.Cut(from, to, false) })
}

func (x *execution) fault(f standin.Faults, d time.Duration) {
	x.platform.SetFaults(f)
	x.undoAfter(d, func() { x.platform.SetFaults(standin.Faults{}) })
}

// zone returns the addresses of the processes in an availability zone.
func zone(i int) []string {
	list := []string{entryAddress(i)}
	for j := range zoneSize {
		list = append(list, agentAddress(i*zoneSize+j))
	}
	return list
}

// addFalseBoxes adds false records to the platform's list of boxes: an entry that does not exist,
// an agent that is listed as an entry, and a live entry that is listed under another name as
// leaving. They remain until the end of the plan.
func (x *execution) addFalseBoxes(st step) {
	for _, b := range []hosting.Box{
		{Name: "ghost", Role: hosting.EntryBox, State: hosting.BoxLive, Address: "http://ghost"},
		{Name: "not-an-entry", Role: hosting.EntryBox, State: hosting.BoxLive, Address: agentAddress(st.A)},
		{Name: "not-leaving", Role: hosting.EntryBox, State: hosting.BoxLeaving, Address: entryAddress(st.B % entryCount)},
	} {
		x.platform.SetBox(b)
	}
}

// killZone kills all processes of an availability zone and restarts them after the given time.
func (x *execution) killZone(i int, d time.Duration) {
	x.killEntry(i)
	for j := range zoneSize {
		x.killAgent(i*zoneSize + j)
	}
	x.undoAfter(d, func() {
		x.restartEntry(i)
		for j := range zoneSize {
			x.restartAgent(i*zoneSize + j)
		}
	})
}

// cutZone partitions an availability zone from the other zone and from the platform, as when two
// regions lose contact with each other.
func (x *execution) cutZone(i int, d time.Duration) {
	for _, inside := range zone(i) {
		for _, outside := range append(zone(1-i), platformAddress) {
			x.cut(inside, outside, d)
			x.cut(outside, inside, d)
		}
	}
}

// loseWorker removes a machine permanently. A plan loses at most one, so that the guarantees still
// fit.
func (x *execution) loseWorker(st step) {
	if len(x.lostWorkers) > 0 {
		return
	}
	x.lostWorkers[st.A] = true
	x.killAgent(st.A)
	x.platform.RemoveWorker(workerName(st.A))
}

// leave shuts an agent down gracefully and starts a replacement.
func (x *execution) leave(st step) {
	r, found := x.agents[st.A]
	if !found {
		return
	}
	x.pending.Go(func() {
		ctx, cancel := context.WithTimeout(x.ctx, time.Minute)
		defer cancel()
		_ = r.process.Leave(ctx)
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.agents[st.A] == r {
			x.killAgent(st.A)
			x.restartAgent(st.A)
		}
	})
}

var shapes = []placement.Shape{
	{Accelerators: 1, Adjacency: placement.SameRegion},
	{Accelerators: 2, Adjacency: placement.SameWorker},
	{Accelerators: 4, Adjacency: placement.SameWorker},
	{Accelerators: 6, Adjacency: placement.SameRack},
	{Accelerators: 8, Adjacency: placement.SameRack},
	{Accelerators: 12, Adjacency: placement.SameRack},
}

func (x *execution) createSession(st step, urgent bool) {
	spec := ledger.SessionSpec{
		Name: fmt.Sprintf("session-%d", x.nextNumber()), Team: teams[st.B%len(teams)].Name,
		Shape: shapes[st.A%len(shapes)], Urgent: urgent, Work: int64(st.For/time.Second) * 5,
	}
	x.pending.Go(func() {
		_, err := x.caller(st.B%entryCount).CreateSession(x.ctx, spec)
		x.mu.Lock()
		defer x.mu.Unlock()
		if err == nil {
			x.accepted[spec.Name] = true
		}
	})
}

func (x *execution) cancelSession(st step) {
	if x.number == 0 {
		return
	}
	name := fmt.Sprintf("session-%d", 1+st.A%x.number)
	x.cancelled[name] = true
	x.pending.Go(func() { _, _ = x.caller(st.B%entryCount).CancelSession(x.ctx, name) })
}

// send sends a request through all of the given entries concurrently.
func (x *execution) send(r *sentRequest, entries ...int) {
	x.requests = append(x.requests, r)
	x.sendAgain(r, entries...)
}

func (x *execution) sendAgain(r *sentRequest, entries ...int) {
	for _, i := range entries {
		x.pending.Go(func() {
			answer, err := x.caller(i).Send(x.ctx, request.Call{
				Service:        service,
				Team:           "wards",
				Key:            r.key,
				NotRepeatable:  r.key != "",
				DeadlineMillis: 3000,
				Body:           r.body,
			})
			if err != nil {
				// The entry is down or unreachable, so the caller has no outcome.
				return
			}
			x.mu.Lock()
			defer x.mu.Unlock()
			r.outcomes = append(r.outcomes, answer)
		})
	}
}

// pay sends a request that must run at most once, with the same key through all of the given
// entries.
func (x *execution) pay(entries ...int) {
	body := fmt.Sprintf("pay %d", x.nextNumber())
	x.pending.Go(func() {
		key, err := x.caller(entries[0]).Key(x.ctx, service)
		if err != nil {
			return
		}
		x.mu.Lock()
		defer x.mu.Unlock()
		x.send(&sentRequest{body: body, key: key}, entries...)
	})
}

// payAgain resends an earlier payment with the same key.
func (x *execution) payAgain(st step) {
	var paid []*sentRequest
	for _, r := range x.requests {
		if r.key != "" {
			paid = append(paid, r)
		}
	}
	if len(paid) > 0 {
		x.sendAgain(paid[st.A%len(paid)], st.B%entryCount)
	}
}

// TestSystem draws plans of faults and work, executes them, and checks the whole system against the
// oracles.
func TestSystem(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt)
		seed := rapid.Uint64().Draw(rt, "seed")
		var violations []string
		synctest.Test(t, func(t *testing.T) { violations = execute(t, seed, plan) })
		if len(violations) > 0 {
			rt.Fatalf("%d violations, first: %s", len(violations), violations[0])
		}
	})
}
