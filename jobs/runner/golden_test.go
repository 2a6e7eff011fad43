package runner_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/internal/goldentest"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/directory"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
	"yarrowgrade.example/yarrowgrade/jobs/runner"
)

// recordingTransport records each request and gives every request the same answer.
type recordingTransport struct {
	mu       sync.Mutex
	requests bytes.Buffer
	status   int
	answer   []byte
}

func (w *recordingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(&w.requests, "%s %s\n%s\n", r.Method, r.URL, body)
	return &http.Response{StatusCode: w.status, Body: io.NopCloser(bytes.NewReader(w.answer)), Request: r}, nil
}

// respond sets the answer to all further requests.
func (w *recordingTransport) respond(status int, answer []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.status, w.answer = status, answer
}

// recorded returns the requests so far.
func (w *recordingTransport) recorded() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return bytes.Clone(w.requests.Bytes())
}

// TestGoldenExchange checks the requests to a leader and to entries that are queried for it, and
// what the client learns from the answers.
func TestGoldenExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); time.Sleep(10 * time.Second) }()
		log := jobtest.NewLog(1)
		directory.RegisterEntry(ctx, log.Client("e"), "entry-1", "10.0.0.1:7000", 1)
		directory := directory.NewDirectory(log.Client("a"), zerolog.Nop())
		go directory.Run(ctx)
		time.Sleep(time.Second)
		w := &recordingTransport{}
		w.respond(http.StatusOK, goldentest.Read(t, "redirect.json"))
		client := runner.NewLeaderClient(directory, &http.Client{Transport: w})
		poll := assignment.Poll{Worker: "worker-1", Agent: "agent-1", Sequence: 7, Term: 4}
		if _, err := client.Poll(ctx, poll); err == nil {
			t.Error("the poll succeeded before a leader was known")
		}
		time.Sleep(time.Second)
		w.respond(http.StatusOK, goldentest.Read(t, "answer.json"))
		answer, err := client.Poll(ctx, poll)
		if err != nil || answer.Term != 4 || answer.Fence != 65537 {
			t.Errorf("got %+v, %v", answer, err)
		}
		if answer.Held() != 300*time.Millisecond || answer.Lease() != lease {
			t.Errorf("got %v, %v", answer.Held(), answer.Lease())
		}
		w.respond(http.StatusConflict, []byte(`{"term":5,"address":"10.0.0.3:7000","self":"entry-2/1"}`))
		if _, err := client.Poll(ctx, poll); err == nil {
			t.Error("a redirect was accepted as an answer")
		}
		if got := directory.Leader(); got.Term != 5 || got.Address != "10.0.0.3:7000" {
			t.Errorf("after the redirect the leader is %+v", got)
		}
		time.Sleep(time.Second)
		goldentest.Bytes(t, "leader-requests.txt", w.recorded())
	})
}

// scriptedWorker is a worker whose answers are set by the test.
type scriptedWorker struct {
	mu      sync.Mutex
	listing runner.Listing
	err     error
	starts  map[assignment.RunID]error
}

func (w *scriptedWorker) Start(_ context.Context, _ runner.Order, s assignment.Start, _ int64) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return 1000, w.starts[s.RunID]
}

func (w *scriptedWorker) Stop(context.Context, runner.Order, assignment.RunID) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return 1000, w.err
}

func (w *scriptedWorker) Throttle(context.Context, runner.Order, assignment.RunID, int) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return 1000, w.err
}

func (w *scriptedWorker) Sync(
	_ context.Context, _ runner.Order, _, _ int64, wait time.Duration,
) (runner.Listing, int64, error) {
	time.Sleep(wait)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listing, 1000, w.err
}

// set changes the worker's answers, and waits until the agent has received them.
func (w *scriptedWorker) set(change func(w *scriptedWorker)) {
	w.mu.Lock()
	change(w)
	w.mu.Unlock()
	time.Sleep(3 * time.Second)
}

// lineShapes returns each distinct combination of level, step and field names in a log, including
// whether there is a message.
func lineShapes(t *testing.T, log []byte) []byte {
	t.Helper()
	shapes := map[string]bool{}
	for line := range bytes.Lines(log) {
		var fields map[string]any
		if err := json.Unmarshal(line, &fields); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		names := strings.Join(slices.Sorted(maps.Keys(fields)), " ")
		shapes[fmt.Sprintf("%v %v: %s\n", fields["level"], fields["step"], names)] = true
	}
	return []byte(strings.Join(slices.Sorted(maps.Keys(shapes)), ""))
}

// TestGoldenLogLines checks the steps and fields of the agent's log lines, which operators' tools
// read.
func TestGoldenLogLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var lines bytes.Buffer
		w := &scriptedWorker{starts: map[assignment.RunID]error{}}
		o := &leader{answer: assignment.Answer{Term: 1, Fence: 1, LeaseMillis: lease.Milliseconds()}}
		r := runner.New(
			runner.Settings{Name: "w", Agent: "1", Lease: lease, MaxCordonDelay: jobtest.CordonBound, Service: "s", Zone: "z"},
			runner.Dependencies{
				Worker:     w,
				Leader:     o,
				Logger:     zerolog.New(zerolog.SyncWriter(&lines)),
				Metrics:    tally.NoopScope,
				Suspension: func() time.Duration { return 0 },
			},
		)
		go r.Run(ctx)
		reported := assignment.WorkerState{
			ID:       incarnation.ID{Instance: "i-1"},
			Service:  "s",
			Zone:     "z",
			Capacity: job.Resources{Accelerators: 8},
		}
		beat := func(change func(l *assignment.WorkerState)) {
			changed := reported
			change(&changed)
			r.Heartbeat(ctx, changed)
		}
		listed := func(runs ...int) []assignment.Run {
			var list []assignment.Run
			for _, run := range runs {
				list = append(list, assignment.Run{RunID: id(run)})
			}
			return list
		}
		start := func(run int) {
			r.Heartbeat(ctx, reported)
			o.set(func(a *assignment.Answer) { a.Start = []assignment.Start{{RunID: id(run)}} })
			time.Sleep(time.Second)
			o.set(func(a *assignment.Answer) { a.Start = nil })
		}

		start(1)
		o.set(func(a *assignment.Answer) { a.Term, a.Fence = 2, 2 })
		time.Sleep(time.Second)
		o.set(func(a *assignment.Answer) { a.ZoneOpen = true })
		w.set(func(w *scriptedWorker) { w.listing.Runs = listed(1) })
		start(1)
		w.set(func(w *scriptedWorker) { w.listing.Runs = listed(1) })
		beat(func(l *assignment.WorkerState) { l.Zone = "y" })
		beat(func(l *assignment.WorkerState) { l.Capacity.Accelerators = 4 })
		o.set(func(a *assignment.Answer) {
			a.Roles = []assignment.Role{{RunID: id(1), BestEffort: true}, {RunID: id(2), LatencyTargetMillis: 100}}
		})
		w.set(func(w *scriptedWorker) { w.listing.Runs = listed(1, 2) })
		o.set(func(a *assignment.Answer) { a.Roles, a.Stop = nil, []assignment.RunID{id(2)} })
		w.set(func(w *scriptedWorker) { w.listing.Unreadable = []error{errors.New("unreadable")} })
		w.set(func(w *scriptedWorker) {
			w.listing = runner.Listing{Runs: listed(2), Ends: []assignment.End{{RunID: id(1), Number: 1, Reason: job.EndDone}}}
		})
		o.set(func(a *assignment.Answer) { a.Stop, a.AckedEnd = nil, 3 })
		time.Sleep(time.Second)
		w.set(func(w *scriptedWorker) {
			w.listing = runner.Listing{Ends: []assignment.End{{RunID: id(9), Number: 2, Reason: job.EndDone}}}
		})
		w.set(func(w *scriptedWorker) { w.listing.EndsOmitted = true })
		w.set(func(w *scriptedWorker) { w.listing = runner.Listing{Runs: listed(10)} })
		w.set(func(w *scriptedWorker) { w.err = errors.New("no answer") })
		time.Sleep(3 * lease)
		w.set(func(w *scriptedWorker) { w.err, w.listing = nil, runner.Listing{Runs: listed(11)} })
		beat(func(l *assignment.WorkerState) { l.ID.Instance = "i-0" })
		beat(func(l *assignment.WorkerState) { l.Draining, l.DrainMillis = true, 900 })
		r.Deregister("i-1")
		reported.ID.StartMillis = 1764722812345
		r.Heartbeat(ctx, reported)
		w.set(func(w *scriptedWorker) { w.listing.StartMillis, w.listing.Runs = reported.ID.StartMillis, listed(12) })
		r.Deregister("i-1")
		w.set(func(w *scriptedWorker) { w.err = runner.ErrOtherIncarnation })
		cancel()
		time.Sleep(20 * time.Second)
		goldentest.Bytes(t, "log-lines.txt", lineShapes(t, lines.Bytes()))
	})
}
