// Package leader runs the part of an entry that leads. One entry at a time is the leader: it
// takes the agents' polls, lets package dispatch decide what runs where, stores the decision and
// tells the agents, with a lease on what they run. Each entry runs a Candidate, which waits until
// it leads.
//
// The package owns who leads (election.go, campaign.go, handover.go), the writes of a term
// (writer.go), and the leases and orders of agents (fleet.go, lease.go, poll.go). It relies on
// the job topic, which accepts no write of a leader once a higher term has begun, on package
// jobstore for what the topic holds, and on package dispatch for the decisions.
//
// # Leadership
//
// The leader is a record of the job topic with a term. An entry that has read the whole topic and
// sees no write of the leader for Timing.ElectionTimeout claims the next term, provided that
// nothing else was written meanwhile. A leader grants leases only while its newest acknowledged
// write is younger than Timing.MaxProofAge. A successor therefore knows how long the runs of a
// silent worker may go on: until a lease that was granted MaxProofAge after it began to lead has
// ended.
//
// # Order of effects
//
// One goroutine decides. It takes new polls, jobs and cancels, decides, stores what follows by
// one append, and only then publishes it to the agents. So agents act on nothing, and are
// acknowledged nothing, that is not stored. An append without an answer is repeated with the same
// sequence number; nothing else is decided meanwhile.
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

// Settings of a candidate.
type Settings struct {
	// Entry is the entry's name in the directory.
	Entry string
	// Incarnation names this start of the entry.
	Incarnation string
	Address     string
	// Cores is how many cores the entry has, in fractions too; zero if unknown.
	Cores    float64
	Timing   Timing
	Dispatch dispatch.Settings
}

// Dependencies are what a candidate works with.
type Dependencies struct {
	// Log is the job topic, and Replica what this process has read of it.
	Log     topic.Log
	Replica *jobstore.Replica
	Catalog *catalog.Follower
	// DirectoryLog is the topic in which agents look for the leader, and Directory what this
	// process has read of it.
	DirectoryLog topic.Log
	Directory    *directory.Directory
	// Permits may be nil where no queue needs permits.
	Permits dispatch.PermitIssuer
	// Latency of the job topic, shared by all who call it in this process.
	Latency *hedge.Latency
	// Client calls other entries.
	Client *http.Client
	// Suspension counts how long this machine was suspended.
	Suspension suspend.Clock
	Logger     zerolog.Logger
	Metrics    tally.Scope
}
