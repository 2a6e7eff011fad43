// Package leader implements leader election and the work of the leader. One entry at a time is the
// leader: it receives the agents' polls, uses package dispatch to decide what runs where, stores
// the decision, and sends it to the agents together with a lease on the runs. Each entry runs a
// Candidate, which waits until the entry leads.
//
// The package owns the election (election.go, campaign.go, handover.go), the writes of a term
// (writer.go), and the agents' leases and orders (fleet.go, lease.go, poll.go). It relies on the
// job topic, which rejects a leader's writes once a later term has begun, on package jobstore for
// the contents of the topic, and on package dispatch for the decisions.
//
// # Leadership
//
// The leader is recorded in the job topic with its term. An entry that has read the whole topic and
// sees no write of the leader for Timing.ElectionTimeout claims the next term, provided that
// nothing else was written in the meantime. A leader grants leases only while its latest
// acknowledged write is younger than Timing.MaxProofAge. A successor can therefore bound how long
// the runs of a silent worker may continue: until the end of a lease granted MaxProofAge after the
// successor began to lead.
//
// # Order of effects
//
// A single goroutine makes the decisions. It takes new polls, jobs and cancellations, decides,
// stores the decision with one append, and only then publishes it to the agents. Agents therefore
// never act on a decision that is not stored, and their polls are acknowledged only once the result
// is stored. An append without a response is repeated with the same sequence number, and no other
// decision is made in the meantime.
//
// # Usage
//
//	c := leader.New(settings, dependencies)
//	go c.Run(ctx)
//	http.HandleFunc(assignment.Path, c.ServePoll)
package leader

import (
	"net/http"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/internal/hedge"
	"yarrowgrade.example/yarrowgrade/internal/suspend"
	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/directory"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch"
	"yarrowgrade.example/yarrowgrade/jobs/jobstore"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// Settings configure a candidate.
type Settings struct {
	// Entry is the entry's name in the directory.
	Entry string
	// Incarnation identifies this start of the entry.
	Incarnation string
	Address     string
	// Cores is the number of cores of the entry, possibly fractional; zero if unknown.
	Cores    float64
	Timing   Timing
	Dispatch dispatch.Settings
}

// Dependencies are the services and state that a candidate uses.
type Dependencies struct {
	// Log is the job topic. Replica is this process's copy of its state.
	Log     topic.Log
	Replica *jobstore.Replica
	Catalog *catalog.Follower
	// DirectoryLog is the topic in which agents look up the leader. Directory is this process's
	// copy of its state.
	DirectoryLog topic.Log
	Directory    *directory.Directory
	// Permits may be nil if no queue requires permits.
	Permits dispatch.PermitIssuer
	// Latency tracks the response times of the job topic. All its callers in this process share it.
	Latency *hedge.Latency
	// Client is used for requests to other entries.
	Client *http.Client
	// Suspension measures how long this machine has been suspended.
	Suspension suspend.Clock
	Logger     zerolog.Logger
	Metrics    tally.Scope
}
