package jobtest_test

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/internal/memnet"
	"yarrowgrade.example/yarrowgrade/jobs/admission"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/directory"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobstore"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
	"yarrowgrade.example/yarrowgrade/jobs/leader"
	"yarrowgrade.example/yarrowgrade/jobs/runner"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// Shape of the system under test.
const (
	entryCount  = 3
	workerCount = 6
	rackSize    = 3
	service     = "roster"
	host        = "queues.example"
	lease       = 6 * time.Second
)

var (
	firstSeed = flag.Uint64("jobtest.seed", 1, "first seed of TestSystem")
	seeds     = flag.Int("jobtest.seeds", 30, "number of seeds of TestSystem")
)

// process is an entry or an agent: it can be killed, and then another life of it started.
type process struct {
	name   string
	life   int
	cancel context.CancelFunc
	// cores is how much processor time an entry has; zero is not told.
	cores     float64
	admission *admission.Service
	runner    *runner.Runner
	// replica and leader are an entry's.
	replica   *jobstore.Replica
	candidate *leader.Candidate
}

// system is the real entries and agents on an in-memory network, log and workers.
type system struct {
	t         *testing.T
	ctx       context.Context
	logger    zerolog.Logger
	random    *rand.Rand
	log       *jobtest.Log
	config    *jobtest.Log
	directory *jobtest.Log
	network   *memnet.Network
	workers   *jobtest.Workers
	worker    []*jobtest.Worker
	entries   []*process
	agents    []*process
	// accepted, refused and cancelled hold what callers were told.
	accepted  map[job.ID]bool
	refused   map[job.ID]bool
	cancelled map[job.ID]bool
	// lasting are the jobs that run until they are cancelled.
	lasting []*job.Job
	number  int
	// readers is how many entries there are as far as the pace of reads goes.
	readers int
}

// shape is how a system differs from an ordinary one.
type shape struct {
	// readers is how many entries there are as far as the pace of reads goes; zero is as many as there are.
	readers int
	// cores is the processor time of the entries, if they are to tell it.
	cores []float64
	// sameID and unborn are how workers name their starts; see jobtest.Workers.
	sameID float64
	unborn bool
	// logger gets the log lines of all processes, if it is set.
	logger *zerolog.Logger
}

// newSystem starts entries, agents and workers.
func newSystem(ctx context.Context, t *testing.T, seed uint64, sh shape) *system {
	s := &system{
		t: t, ctx: ctx, logger: zerolog.Nop(), random: rand.New(rand.NewPCG(seed, 2)),
		log: jobtest.NewLog(seed), config: jobtest.NewLog(seed + 1), directory: jobtest.NewLog(seed + 2),
		network: memnet.New(), workers: jobtest.NewWorkers(seed),
		accepted: map[job.ID]bool{}, refused: map[job.ID]bool{}, cancelled: map[job.ID]bool{},
	}
	if testing.Verbose() {
		zerolog.TimeFieldFormat = time.RFC3339Nano
		s.logger = zerolog.New(zerolog.NewTestWriter(t)).With().Timestamp().Logger()
	}
	if sh.logger != nil {
		s.logger = *sh.logger
	}
	s.workers.FailureShare = 0.03
	s.workers.SameIDShare, s.workers.NoStartTimes = sh.sameID, sh.unborn
	s.readers = cmp.Or(sh.readers, entryCount)
	record := []topic.Record{{Key: "config", Value: []byte("1")}}
	if _, err := s.config.Client("operator").Append(ctx, record, topic.Condition{}); err != nil {
		t.Fatal(err)
	}
	for i := range workerCount {
		room := job.Resources{CPU: 16_000, Memory: 64_000, Accelerators: 8}
		w := s.workers.Add(fmt.Sprintf("worker-%d", i), service, zoneOf(i), fmt.Sprintf("rack-%d", i/rackSize), room, "a")
		s.worker = append(s.worker, w)
		s.agents = append(s.agents, &process{name: fmt.Sprintf("worker-%d", i)})
	}
	for i := range entryCount {
		s.entries = append(s.entries, &process{name: fmt.Sprintf("entry-%d", i)})
		if i < len(sh.cores) {
			s.entries[i].cores = sh.cores[i]
		}
	}
	go s.workers.Run(ctx)
	for i := range s.entries {
		s.startEntry(i)
	}
	for i := range s.agents {
		s.startAgent(i)
	}
	return s
}

// zoneOf is the availability zone of a worker: each rack is one.
func zoneOf(worker int) string { return fmt.Sprintf("zone-%d", worker/rackSize) }

// cordonPrefix begins the keys of records that cordon a zone.
const cordonPrefix = "cordon/"

// operatorFormat reads operators' records in the test.
var operatorFormat = catalog.Format{
	ConfigKey: "config", Config: decodeCatalog,
	CordonedZone: func(key string) (string, bool) { return strings.CutPrefix(key, cordonPrefix) },
	CheckCordon:  func([]byte) error { return nil },
}

// cordon cordons a zone, as operators do: it counts from when the log has answered.
func (s *system) cordon(zone string) {
	s.putCordon(zone, []byte("{}"))
	s.workers.Cordon(zone)
}

// uncordon takes a cordon away. From the moment when the record is written nothing is judged by it.
func (s *system) uncordon(zone string) {
	s.workers.Uncordon(zone)
	s.putCordon(zone, nil)
}

func (s *system) putCordon(zone string, value []byte) {
	record := []topic.Record{{Key: cordonPrefix + zone, Value: value}}
	if _, err := s.config.Client("operator").Append(s.ctx, record, topic.Condition{}); err != nil {
		s.t.Error(err)
	}
}

// setFault sets how the store treats a process, or all of them.
func (s *system) setFault(name string, f jobtest.Fault) {
	s.log.SetFault(name, f)
	s.config.SetFault(name, f)
	s.config.SetFault("operator", jobtest.Fault{})
}

// decodeCatalog is the configuration of the test: three queues with priorities 0 to 2, and a team for each key.
func decodeCatalog([]byte) (*catalog.Catalog, error) {
	c := catalog.Catalog{Version: 1, Teams: []catalog.Team{{Name: "team", Keys: []string{"key"}, GuaranteedAccelerators: 16}}}
	for p := range 3 {
		c.Queues = append(c.Queues, catalog.Queue{
			Name: fmt.Sprintf("queue-%d", p), Host: host, Prefix: fmt.Sprintf("/q%d/", p), Service: service, Priority: p,
			MaxAttempts: 4, ObjectiveFactor: 3, ObjectiveSlack: time.Second,
		})
	}
	return c.WithIndex(), nil
}

func (s *system) startEntry(i int) {
	p := s.entries[i]
	ctx, cancel := context.WithCancel(s.ctx)
	p.cancel, p.life = cancel, p.life+1
	client := s.network.Client("http://" + p.name)
	log, announced := s.log.Client(p.name), s.directory.Client(p.name)
	logger := s.logger.With().Str("entry", p.name).Logger()
	directory := directory.NewDirectory(announced, zerolog.Nop())
	inLine := func() bool { return directory.IsStandby(p.name) }
	replica := jobstore.NewReplica(log, func() int { return s.readers }, logger).WithStandby(inLine)
	p.replica = replica
	follower := catalog.NewFollower(s.config.Client(p.name), operatorFormat, logger)
	latency := replica.Latency()
	writer := jobstore.NewWriter(log, latency, replica, directory.Addresses, p.name, client, logger)
	p.admission = admission.New(admission.Settings{KeyProof: 5 * time.Second}, admission.Dependencies{Writer: writer, Replica: replica, Catalog: follower, Logger: logger, Metrics: tally.NoopScope})
	candidate := leader.New(
		leader.Settings{
			Entry: p.name, Incarnation: fmt.Sprintf("%s/%d", p.name, p.life), Address: p.name, Cores: p.cores,
			Timing: leader.DefaultTiming(lease), Dispatch: dispatch.DefaultSettings(),
		},
		leader.Dependencies{Log: log, Replica: replica, Catalog: follower, DirectoryLog: announced, Directory: directory, Latency: latency, Client: client, Logger: logger, Metrics: tally.NoopScope},
	)
	p.candidate = candidate
	r := httprouter.New()
	r.HandlerFunc(http.MethodPost, assignment.Path, candidate.ServePoll)
	r.HandlerFunc(http.MethodGet, assignment.LeaderPath, candidate.ServeLeader)
	r.HandlerFunc(http.MethodPost, assignment.HandoverPath, candidate.ServeHandover)
	r.HandlerFunc(http.MethodPost, jobstore.RecordsPath, writer.ServeWrite)
	s.network.Attach("http://"+p.name, r)
	go replica.Run(ctx)
	go follower.Run(ctx)
	go directory.Run(ctx)
	go candidate.Run(ctx)
	go directory.KeepRegistered(ctx, announced, p.name, p.name, p.cores)
}

func (s *system) startAgent(i int) {
	p := s.agents[i]
	ctx, cancel := context.WithCancel(s.ctx)
	p.cancel, p.life = cancel, p.life+1
	client := s.network.Client("http://" + p.name)
	directory := directory.NewDirectory(s.directory.Client(p.name), zerolog.Nop())
	s.network.Attach("http://"+p.name, http.NotFoundHandler())
	p.runner = runner.New(
		runner.Settings{Name: p.name, Agent: fmt.Sprintf("%s/%d", p.name, p.life), Lease: lease, Drift: 0.03, CordonWithin: jobtest.CordonBound},
		runner.Dependencies{Worker: s.worker[i], Leader: runner.NewLeaderClient(directory, client), Logger: s.logger.With().Str("agent", p.name).Logger(), Metrics: tally.NoopScope},
	)
	go directory.Run(ctx)
	go p.runner.Run(ctx)
	go func(r *runner.Runner) {
		for ctx.Err() == nil {
			if life, ok := s.worker[i].Beat(); ok {
				r.Heartbeat(ctx, life)
			}
			time.Sleep(time.Second)
		}
	}(p.runner)
}

// restart kills a process and starts another life of it later.
func (s *system) restart(p *process, start func(), away time.Duration) {
	s.network.Kill("http://" + p.name)
	p.cancel()
	time.Sleep(away)
	start()
}

// submit hands a job in at up to three entries, as callers do, and keeps what they were told.
func (s *system) submit(j *job.Job, queue int) {
	s.workers.Expect(j)
	path := fmt.Sprintf("/q%d/%s", queue, j.ID)
	doubt := false
	for try := range 3 {
		in := s.entries[(s.number+1+try)%entryCount].admission
		ctx, cancel := context.WithTimeout(s.ctx, 3*time.Second)
		a, err := in.Admit(host, path, "key")
		if err == nil {
			copied := *j
			err = in.Submit(ctx, a, &copied)
			j.Service, j.MaxAttempts = copied.Service, copied.MaxAttempts
		}
		cancel()
		switch {
		case err == nil:
			s.accepted[j.ID] = true
			return
		case !errors.Is(err, admission.ErrNotReady):
			doubt = true
		}
		time.Sleep(300 * time.Millisecond)
	}
	s.refused[j.ID] = !doubt
}

// cancel cancels a job at some entry.
func (s *system) cancel(id job.ID, queue int) {
	in := s.entries[s.random.IntN(entryCount)].admission
	ctx, done := context.WithTimeout(s.ctx, 3*time.Second)
	defer done()
	a, err := in.Admit(host, fmt.Sprintf("/q%d/%s", queue, id), "key")
	if err == nil {
		_ = in.Cancel(ctx, a)
		// It may be carried out also where the answer says nothing.
		s.cancelled[id] = true
	}
}

// drawJob draws a job of one of the shapes that callers hand in.
func (s *system) drawJob() (*job.Job, int) {
	s.number++
	queue := s.random.IntN(3)
	j := &job.Job{
		ID: job.ID(fmt.Sprintf("%016x", s.number)), Spec: fmt.Sprintf("spec %d", s.number), Service: service, MaxAttempts: 4, Priority: queue,
	}
	for n := range 1 + s.random.IntN(2) {
		step := job.Step{
			Tasks: 1 + s.random.IntN(5), Resources: job.Resources{CPU: 2000, Memory: 4000, Accelerators: 1 + s.random.IntN(4)},
			Estimate: 2 * time.Second, Gang: s.random.IntN(2) == 0, Checkpoint: s.random.IntN(2) == 0,
		}
		step.SameRack = step.Gang && s.random.IntN(2) == 0
		if !step.Gang && s.random.IntN(3) == 0 {
			step.MaxPerWorker = 1
		}
		if n > 0 {
			step.DependsOn = []int{0}
		}
		if s.random.IntN(4) == 0 {
			step.RequiredLabel = "a"
		}
		j.Steps = append(j.Steps, step)
	}
	switch s.random.IntN(8) {
	case 0:
		j.RoundCount, j.FirstRound, j.RoundInterval = 2, time.Now().Add(time.Second), 3*time.Second
	case 1:
		j.Steps = []job.Step{s.drawServing()}
		s.lasting = append(s.lasting, j)
	case 2:
		for i := range j.Steps {
			j.Steps[i].BestEffort, j.Steps[i].Gang, j.Steps[i].SameRack = true, false, false
		}
	}
	return j, queue
}

// drawServing draws a step that lasts until it is cancelled, and serves users.
func (s *system) drawServing() job.Step {
	return job.Step{
		Tasks: 1 + s.random.IntN(3), Resources: job.Resources{CPU: 1000, Memory: 1000, Accelerators: s.random.IntN(2)}, Estimate: 2 * time.Second,
		LongRunning: true, Image: "serve", LatencyTarget: 100 * time.Millisecond, HasMaxUnavailable: true, MaxUnavailable: 1,
	}
}

// disturb draws one fault; it is over within six seconds, unless it says otherwise.
func (s *system) disturb() {
	r := s.random
	e, a := r.IntN(entryCount), r.IntN(workerCount)
	entry, agent := s.entries[e], s.agents[a]
	length := time.Duration(1000+r.IntN(6000)) * time.Millisecond
	faults := []jobtest.Fault{{Silent: true}, {Refuse: true}, {Reset: true}, {Delay: 250 * time.Millisecond}, {Lost: 0.4}, {Lost: 0.4, Late: true}}
	fault := faults[r.IntN(len(faults))]
	after := func(f func()) { time.AfterFunc(length, f) }
	switch r.IntN(15) {
	case 0:
		s.restart(entry, func() { s.startEntry(e) }, length/3)
	case 1:
		s.restart(agent, func() { s.startAgent(a) }, length/3)
	case 2:
		s.setFault(entry.name, fault)
		after(func() { s.setFault(entry.name, jobtest.Fault{}) })
	case 3:
		s.setFault("", fault)
		after(func() { s.setFault("", jobtest.Fault{}) })
	case 4:
		for _, p := range s.entries {
			s.network.Cut("http://"+agent.name, "http://"+p.name, true)
			after(func() { s.network.Cut("http://"+agent.name, "http://"+p.name, false) })
		}
	case 5:
		for _, p := range s.agents {
			s.network.Cut("http://"+p.name, "http://"+entry.name, true)
			after(func() { s.network.Cut("http://"+p.name, "http://"+entry.name, false) })
		}
	case 6:
		s.worker[a].Crash(length)
	case 7:
		s.worker[a].SetUnreachable(true)
		after(func() { s.worker[a].SetUnreachable(false) })
	case 8:
		s.worker[a].SetLate(0.3)
		after(func() { s.worker[a].SetLate(0) })
	case 9:
		s.worker[a].Leave(length)
	case 10:
		s.network.Freeze("http://" + entry.name)
		after(func() { s.network.Thaw("http://" + entry.name) })
	case 11:
		s.log.Expire()
		s.config.Expire()
	case 12:
		// An entry that nobody reaches, and that reaches the log: for long.
		for _, p := range append(slices.Clone(s.agents), s.entries...) {
			s.network.Cut("http://"+p.name, "http://"+entry.name, true)
			time.AfterFunc(3*length, func() { s.network.Cut("http://"+p.name, "http://"+entry.name, false) })
		}
	case 13, 14:
		zone := zoneOf(a)
		s.cordon(zone)
		time.AfterFunc(3*length, func() { s.uncordon(zone) })
	}
}

// play lets callers and faults strike for a while, heals all, and waits until all jobs should have ended.
func (s *system) play() {
	time.Sleep(3 * time.Second)
	for range 25 {
		j, queue := s.drawJob()
		s.submit(j, queue)
		if s.random.IntN(10) == 0 {
			s.cancel(j.ID, queue)
		}
		if s.random.IntN(2) == 0 {
			s.disturb()
		}
		time.Sleep(time.Duration(s.random.IntN(1200)) * time.Millisecond)
	}
	time.Sleep(7 * time.Second)
	s.network.Heal()
	s.log.Heal()
	s.config.Heal()
	for _, w := range s.worker {
		w.Heal()
	}
	time.Sleep(20 * time.Second)
	s.endLasting()
	time.Sleep(70 * time.Second)
}

// endLasting checks that what lasts is at work once all has healed, and cancels it.
func (s *system) endLasting() {
	for _, j := range s.lasting {
		if s.cancelled[j.ID] || !s.accepted[j.ID] || s.mayBeGivenUp(j.ID) {
			continue
		}
		if got, want := s.workers.Running(j.ID), j.Steps[0].Tasks; got != want {
			s.t.Errorf("LOST: %d of %d tasks of lasting job %s are at work 20 s after all faults", got, want, j.ID)
		}
	}
	for _, j := range s.lasting {
		s.cancel(j.ID, j.Priority)
	}
}

// mayBeGivenUp reports whether a job is failed and may be: where workers crash all the time, a sound task can have crashes enough under it that nothing else
// explains (four crashes in 15 s were seen under a lasting task, two of them with nothing beside it).
func (s *system) mayBeGivenUp(id job.ID) bool {
	return s.phase(id) == job.Failed && s.workers.MayFail(id)
}

// check compares what callers were told with what the workers saw.
func (s *system) check() {
	t := s.t
	for _, b := range s.workers.Report() {
		t.Error(b)
	}
	for id := range s.refused {
		if s.refused[id] && s.workers.EverRan(id) {
			t.Errorf("REFUSED: %s ran, but every try to hand it in was refused", id)
		}
	}
	for id := range s.accepted {
		for _, e := range s.entries {
			a := admission.Call{Job: id}
			phase, err := e.admission.Phase(s.ctx, a)
			switch {
			case err != nil:
				t.Errorf("LOST: %s says of accepted job %s: %v", e.name, id, err)
			case phase == job.Completed && !s.workers.AllDone(id):
				t.Errorf("MIXED: job %s is completed but not all of its tasks ended so", id)
			case phase == job.Failed, phase == job.Cancelled && s.cancelled[id], phase == job.Completed:
			default:
				t.Errorf("LOST: %s says that job %s is %v long after all faults", e.name, id, phase)
			}
			if phase.Final() && s.workers.AnyRun(id) {
				t.Errorf("MIXED: job %s is %v and still runs", id, phase)
			}
		}
	}
}

// TestSystem plays drawn days of jobs and faults against the real entries and agents, and checks the rules that workers
// and callers can see. Replay a failing seed with -jobtest.seed=N -jobtest.seeds=1.
func TestSystem(t *testing.T) {
	for n := range *seeds {
		seed := *firstSeed + uint64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				// On every other day entries read as if they were many, and on every third one workers don't say when they started.
				s := newSystem(ctx, t, seed, shape{readers: entryCount + int(seed%2)*50, unborn: seed%3 == 0})
				s.play()
				s.check()
				if len(s.accepted) < 5 || s.workers.Starts < 20 {
					t.Errorf("only %d jobs were accepted and %d runs started: the day proves nothing", len(s.accepted), s.workers.Starts)
				}
				cancel()
				time.Sleep(30 * time.Second)
			})
		})
	}
}
