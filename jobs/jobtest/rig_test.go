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

// Parameters of the system under test.
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
	// Days under overload take longer than others.
	overloadSeeds = flag.Int("jobtest.overloadseeds", 10, "number of seeds of TestSystemUnderOverload")
)

// process is an entry or an agent, which can be killed and restarted.
type process struct {
	name        string
	incarnation int
	cancel      context.CancelFunc
	// cores is the processor time that an entry reports, or zero.
	cores     float64
	admission *admission.Service
	runner    *runner.Runner
	// replica and candidate are set for entries.
	replica   *jobstore.Replica
	candidate *leader.Candidate
}

// system consists of real entries and agents on an in-memory network, log and workers.
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
	// accepted, refused and cancelled hold the responses that callers got. refused is true if every
	// attempt was certainly refused.
	accepted  map[job.ID]bool
	refused   map[job.ID]bool
	cancelled map[job.ID]bool
	// longRunning lists the long-running jobs, which run until they are cancelled.
	longRunning []*job.Job
	number      int
	// shed counts the attempts that were refused because the service was overloaded, and shedJobs the
	// jobs with such an attempt.
	shed      int
	shedJobs  map[job.ID]bool
	decisions dispatch.Settings
	// onAppend and previous are those of systemOptions.
	onAppend func(records []topic.Record)
	previous string
	// faultsUntil is the time by which the faults that a test injects in addition to those of
	// simulate have ended.
	faultsUntil time.Time
	// readers is the number of entries that determines the pace of reads of the log.
	readers int
}

// systemOptions describes the differences from a default system. The zero value is the default.
type systemOptions struct {
	// readers is the number of entries that the pace of reads is based on; zero means the actual
	// number.
	readers int
	// cores is the processor time that each entry reports. Entries beyond its length report none.
	cores []float64
	// sameID and noStartTimes set the fields SameIDShare and NoStartTimes of jobtest.Workers.
	sameID       float64
	noStartTimes bool
	// listedEnds is the maximum number of ends in a worker's list, and capacity that of each worker;
	// zero means the default.
	listedEnds int
	capacity   job.Resources
	// logger, if set, receives the log lines of all processes.
	logger *zerolog.Logger
	// policy is that of all entries. endedRetention is how long they keep ended jobs; zero means the
	// default.
	policy         dispatch.Policy
	endedRetention time.Duration
	// onAppend, if set, is called with the records of each append that an entry makes to the job
	// topic.
	onAppend func(records []topic.Record)
	// previous, if set, is an entry of the version before forecasts were known.
	previous string
}

// newSystem starts entries, agents and workers.
func newSystem(ctx context.Context, t *testing.T, seed uint64, opts systemOptions) *system {
	s := &system{
		t:         t,
		ctx:       ctx,
		logger:    zerolog.Nop(),
		random:    rand.New(rand.NewPCG(seed, 2)),
		log:       jobtest.NewLog(seed),
		config:    jobtest.NewLog(seed + 1),
		directory: jobtest.NewLog(seed + 2),
		network:   memnet.New(),
		workers:   jobtest.NewWorkers(seed),
		accepted:  map[job.ID]bool{},
		refused:   map[job.ID]bool{},
		cancelled: map[job.ID]bool{},
		shedJobs:  map[job.ID]bool{},
		decisions: dispatch.DefaultSettings(),
		previous:  opts.previous,
		onAppend:  opts.onAppend,
		readers:   cmp.Or(opts.readers, entryCount),
	}
	s.decisions.Policy = opts.policy
	s.decisions.EndedRetention = cmp.Or(opts.endedRetention, s.decisions.EndedRetention)
	if testing.Verbose() {
		zerolog.TimeFieldFormat = time.RFC3339Nano
		s.logger = zerolog.New(zerolog.NewTestWriter(t)).With().Timestamp().Logger()
	}
	if opts.logger != nil {
		s.logger = *opts.logger
	}
	s.workers.Logger = s.logger
	s.workers.FailureShare = 0.03
	s.workers.SameIDShare, s.workers.NoStartTimes = opts.sameID, opts.noStartTimes
	s.workers.ListedEnds = cmp.Or(opts.listedEnds, jobtest.DefaultListedEnds)
	record := []topic.Record{{Key: "config", Value: []byte("1")}}
	if _, err := s.config.Client("operator").Append(ctx, record, topic.Condition{}); err != nil {
		t.Fatal(err)
	}
	for i := range workerCount {
		name, rack := fmt.Sprintf("worker-%d", i), fmt.Sprintf("rack-%d", i/rackSize)
		capacity := cmp.Or(opts.capacity, job.Resources{CPU: 16_000, Memory: 64_000, Accelerators: 8})
		s.worker = append(s.worker, s.workers.Add(name, service, zoneOf(i), rack, capacity, "a"))
		s.agents = append(s.agents, &process{name: name})
	}
	for i := range entryCount {
		s.entries = append(s.entries, &process{name: fmt.Sprintf("entry-%d", i)})
		if i < len(opts.cores) {
			s.entries[i].cores = opts.cores[i]
		}
	}
	s.start()
	return s
}

// start starts the workers and all processes.
func (s *system) start() {
	go s.workers.Run(s.ctx)
	for i := range s.entries {
		s.startEntry(i)
	}
	for i := range s.agents {
		s.startAgent(i)
	}
}

// zoneOf returns the availability zone of a worker. Each rack is its own zone.
func zoneOf(worker int) string { return fmt.Sprintf("zone-%d", worker/rackSize) }

// cordonPrefix is the prefix of the keys of cordon records.
const cordonPrefix = "cordon/"

// operatorFormat decodes operators' records in tests.
var operatorFormat = catalog.Format{
	ConfigKey: "config", DecodeConfig: decodeCatalog,
	CordonedZone: func(key string) (string, bool) { return strings.CutPrefix(key, cordonPrefix) },
	CheckCordon:  func([]byte) error { return nil },
}

// cordon cordons an availability zone. The cordon counts from the response of the log.
func (s *system) cordon(zone string) {
	s.putCordon(zone, []byte("{}"))
	s.workers.Cordon(zone)
}

// uncordon ends a cordon. The workers stop checking it before the record is written.
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

// setFault sets the fault of the store for a process, or for all if name is empty. Operators still
// reach the store.
func (s *system) setFault(name string, f jobtest.Fault) {
	s.log.SetFault(name, f)
	s.config.SetFault(name, f)
	s.config.SetFault("operator", jobtest.Fault{})
}

// decodeCatalog returns the configuration of the tests: queues of priorities 0 to 2, one team with
// a guarantee and two without.
func decodeCatalog([]byte) (*catalog.Catalog, error) {
	teams := []catalog.Team{
		{Name: "team", Keys: []string{"key"}, GuaranteedAccelerators: 16},
		{Name: "large", Keys: []string{"large"}},
		{Name: "small", Keys: []string{"small"}},
	}
	c := catalog.Catalog{Version: 1, Teams: teams}
	for p := range 3 {
		c.Queues = append(c.Queues, catalog.Queue{
			Name:        fmt.Sprintf("queue-%d", p),
			Host:        host,
			Prefix:      fmt.Sprintf("/q%d/", p),
			Service:     service,
			Priority:    p,
			MaxAttempts: 4, ObjectiveFactor: 3, ObjectiveSlack: time.Second,
		})
	}
	return c.WithIndex(), nil
}

// watchedLog reports the appends of an entry.
type watchedLog struct {
	topic.Log
	onAppend func(records []topic.Record)
}

// Append implements topic.Log.
func (w watchedLog) Append(ctx context.Context, records []topic.Record, c topic.Condition) (int64, error) {
	w.onAppend(records)
	return w.Log.Append(ctx, records, c)
}

// previousLog is the log as an entry reads it that does not know the key of forecasts: it gets them
// under a key that is unknown to this version too.
type previousLog struct{ topic.Log }

// Read implements topic.Log.
func (p previousLog) Read(ctx context.Context, q topic.Query) (topic.Batch, error) {
	batch, err := p.Log.Read(ctx, q)
	return withoutForecasts(batch), err
}

// Newest implements topic.Log.
func (p previousLog) Newest(ctx context.Context) (topic.Batch, error) {
	batch, err := p.Log.Newest(ctx)
	return withoutForecasts(batch), err
}

func withoutForecasts(batch topic.Batch) topic.Batch {
	batch.Records = slices.Clone(batch.Records)
	for i := range batch.Records {
		if batch.Records[i].Key == "f" {
			batch.Records[i].Key = "unknown"
		}
	}
	return batch
}

func (s *system) startEntry(i int) {
	p := s.entries[i]
	ctx, cancel := context.WithCancel(s.ctx)
	p.cancel, p.incarnation = cancel, p.incarnation+1
	client := s.network.Client("http://" + p.name)
	log, announced := topic.Log(s.log.Client(p.name)), s.directory.Client(p.name)
	decisions := s.decisions
	if p.name == s.previous {
		log = previousLog{Log: log}
		decisions.Policy, _ = decisions.Policy.Without(string(dispatch.LoadShedding))
	}
	if s.onAppend != nil {
		log = watchedLog{Log: log, onAppend: s.onAppend}
	}
	logger := s.logger.With().Str("entry", p.name).Logger()
	directory := directory.NewDirectory(announced, zerolog.Nop())
	isStandby := func() bool { return directory.IsStandby(p.name) }
	replica := jobstore.NewReplica(log, func() int { return s.readers }, logger).WithStandby(isStandby)
	p.replica = replica
	follower := catalog.NewFollower(s.config.Client(p.name), operatorFormat, logger)
	latency := replica.Latency()
	writer := jobstore.NewWriter(log, latency, replica, directory.Addresses, p.name, client, logger)
	p.admission = admission.New(admission.Settings{MaxConfigAge: 5 * time.Second}, admission.Dependencies{
		Writer:  writer,
		Replica: replica,
		Catalog: follower,
		Logger:  logger,
		Metrics: tally.NoopScope,
	})
	p.candidate = leader.New(p.leaderSettings(decisions), leader.Dependencies{
		Log:          log,
		Replica:      replica,
		Catalog:      follower,
		DirectoryLog: announced,
		Directory:    directory,
		Latency:      latency,
		Client:       client,
		Logger:       logger,
		Metrics:      tally.NoopScope,
	})
	s.network.Attach("http://"+p.name, p.handler(writer))
	go replica.Run(ctx)
	go follower.Run(ctx)
	go directory.Run(ctx)
	go p.candidate.Run(ctx)
	go directory.KeepRegistered(ctx, announced, p.name, p.name, p.cores)
}

func (p *process) leaderSettings(decisions dispatch.Settings) leader.Settings {
	return leader.Settings{
		Entry:       p.name,
		Incarnation: fmt.Sprintf("%s/%d", p.name, p.incarnation),
		Address:     p.name,
		Cores:       p.cores,
		Timing:      leader.DefaultTiming(lease),
		Dispatch:    decisions,
	}
}

// handler returns the handler of the requests that an entry serves for agents and other entries.
func (p *process) handler(writer *jobstore.Writer) http.Handler {
	r := httprouter.New()
	r.HandlerFunc(http.MethodPost, assignment.Path, p.candidate.ServePoll)
	r.HandlerFunc(http.MethodGet, assignment.LeaderPath, p.candidate.ServeLeader)
	r.HandlerFunc(http.MethodPost, assignment.HandoverPath, p.candidate.ServeHandover)
	r.HandlerFunc(http.MethodPost, jobstore.RecordsPath, writer.ServeWrite)
	return r
}

func (s *system) startAgent(i int) {
	p := s.agents[i]
	ctx, cancel := context.WithCancel(s.ctx)
	p.cancel, p.incarnation = cancel, p.incarnation+1
	client := s.network.Client("http://" + p.name)
	directory := directory.NewDirectory(s.directory.Client(p.name), zerolog.Nop())
	s.network.Attach("http://"+p.name, http.NotFoundHandler())
	p.runner = runner.New(
		runner.Settings{
			Name:           p.name,
			Agent:          fmt.Sprintf("%s/%d", p.name, p.incarnation),
			Lease:          lease,
			Drift:          0.03,
			MaxCordonDelay: jobtest.CordonBound,
		},
		runner.Dependencies{
			Worker:  s.worker[i],
			Leader:  runner.NewLeaderClient(directory, client),
			Logger:  s.logger.With().Str("agent", p.name).Logger(),
			Metrics: tally.NoopScope,
		},
	)
	go directory.Run(ctx)
	go p.runner.Run(ctx)
	go func(r *runner.Runner) {
		for ctx.Err() == nil {
			if state, ok := s.worker[i].Heartbeat(); ok {
				r.Heartbeat(ctx, state)
			}
			time.Sleep(time.Second)
		}
	}(p.runner)
}

// restart kills a process and restarts it after the duration away.
func (s *system) restart(p *process, start func(), away time.Duration) {
	s.network.Kill("http://" + p.name)
	p.cancel()
	time.Sleep(away)
	start()
}

// submit submits a job at up to three entries, and records the outcome that the caller sees.
func (s *system) submit(j *job.Job, queue int) { s.submitAs("key", j, queue) }

// submitAs submits a job like submit, with the key of a team.
func (s *system) submitAs(key string, j *job.Job, queue int) {
	s.workers.Expect(j)
	path := fmt.Sprintf("/q%d/%s", queue, j.ID)
	uncertain := false
	for try := range 3 {
		in := s.entries[(s.number+1+try)%entryCount].admission
		ctx, cancel := context.WithTimeout(s.ctx, 3*time.Second)
		a, err := in.Admit(host, path, key)
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
		case isOverloaded(err):
			s.shed++
			s.shedJobs[j.ID] = true
		case !errors.Is(err, admission.ErrNotReady):
			uncertain = true
		}
		time.Sleep(300 * time.Millisecond)
	}
	s.refused[j.ID] = !uncertain
}

// isOverloaded reports whether a job was refused because its service is overloaded.
func isOverloaded(err error) bool {
	var refusal *admission.Overloaded
	return errors.As(err, &refusal)
}

// cancel cancels a job at a random entry.
func (s *system) cancel(id job.ID, queue int) {
	in := s.entries[s.random.IntN(entryCount)].admission
	ctx, done := context.WithTimeout(s.ctx, 3*time.Second)
	defer done()
	a, err := in.Admit(host, fmt.Sprintf("/q%d/%s", queue, id), "key")
	if err == nil {
		_ = in.Cancel(ctx, a)
		// The job may be cancelled even if no response confirms it.
		s.cancelled[id] = true
	}
}

// kill ends a process at once.
func (s *system) kill(p *process) {
	s.network.Kill("http://" + p.name)
	p.cancel()
}

// cutAgents drops all messages from the agents to an entry until the network is healed.
func (s *system) cutAgents(e *process) {
	for _, a := range s.agents {
		s.network.Cut("http://"+a.name, "http://"+e.name, true)
	}
}

// failOperatorLog sets the fault of the log of operators' records for all processes. Operators
// still reach it.
func (s *system) failOperatorLog(f jobtest.Fault) {
	s.config.SetFault("", f)
	s.config.SetFault("operator", jobtest.Fault{})
}

// heal ends all faults of the network and of the logs.
func (s *system) heal() {
	s.network.Heal()
	s.log.Heal()
	s.config.Heal()
}
