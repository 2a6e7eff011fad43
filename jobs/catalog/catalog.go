// Package catalog holds what operators have put in force for jobs: queues, services and teams, the availability zones that
// are cordoned, and how old the proof is that nothing newer is in force.
//
// A Catalog is an immutable value. A Follower keeps the newest one and never goes back to an older version.
//
// # Usage
//
//	f := catalog.NewFollower(topic, catalog.Format{ConfigKey: "config", Config: decode}, logger)
//	go f.Run(ctx)
//	c, proof := f.Current()
//	cordons, proof := f.Cordons()
//	queue, ok := c.Route("nony24.example", "/lohu930/5c0e7a21d94b36f8")
package catalog

import (
	"strings"
	"time"
)

// Queue is a route by which callers hand in jobs.
type Queue struct {
	Name     string
	Host     string
	Prefix   string
	Service  string
	Priority int
	// MaxAttempts bounds the failed runs of a task.
	MaxAttempts int
	// ObjectiveFactor and Aim say when a job of the queue should be completed; see job.Job.
	ObjectiveFactor float64
	ObjectiveSlack  time.Duration
	// Public queues need no key.
	Public bool
	// NeedsPermit queues need a ticket of the advice service for each start.
	NeedsPermit bool
}

// Service is a pool of workers that run the tasks of queues.
type Service struct {
	Name string
	// ChecksAdmission workers refuse what does not fit.
	ChecksAdmission bool
	// PoweredOff says that the pool's machines are off until they are moved.
	PoweredOff bool
}

// Team is a tenant of the system.
type Team struct {
	Name string
	Keys []string
	// GuaranteedAccelerators is how many accelerators are the team's own for jobs of priority 0.
	GuaranteedAccelerators int
}

// Catalog is one version of all that.
type Catalog struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Teams    []Team
	// BodyBytes bounds the body of a call.
	BodyBytes int64

	teamOfKey map[string]string
}

// WithIndex returns the catalog ready for look-ups by key.
func (c Catalog) WithIndex() *Catalog {
	c.teamOfKey = make(map[string]string)
	for _, t := range c.Teams {
		for _, k := range t.Keys {
			c.teamOfKey[k] = t.Name
		}
	}
	return &c
}

// Route returns the queue of a host with the longest prefix that the path starts with.
func (c *Catalog) Route(host, path string) (Queue, bool) {
	var best Queue
	found := false
	for _, q := range c.Queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (!found || len(q.Prefix) > len(best.Prefix)) {
			best, found = q, true
		}
	}
	return best, found
}

// TeamOf returns the team that holds a key.
func (c *Catalog) TeamOf(key string) (string, bool) {
	team, ok := c.teamOfKey[key]
	return team, ok
}

// GuaranteedAccelerators returns the accelerators that are a team's own.
func (c *Catalog) GuaranteedAccelerators(team string) int {
	for _, t := range c.Teams {
		if t.Name == team {
			return t.GuaranteedAccelerators
		}
	}
	return 0
}
