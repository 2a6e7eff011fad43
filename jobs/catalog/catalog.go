// Package catalog holds what operators have configured for jobs: queues, services, teams and
// cordoned availability zones.
//
// It owns the rules by which operators' records take effect. A Catalog is an immutable value, and
// so are Cordons. A Follower reads the records, keeps the newest Catalog and never goes back to
// an older version; it also says when it last knew that there is nothing newer. It relies on
// package topic for reading, and on a Format of package platform for what the records say.
//
// # Usage
//
//	f := catalog.NewFollower(log, platform.OperatorFormat(zones), logger)
//	go f.Run(ctx)
//	c, syncedAt := f.Current()
//	cordons, syncedAt := f.Cordons()
//	queue, ok := c.Route("nony24.example", "/lohu930/5c0e7a21d94b36f8")
package catalog

import (
	"strings"
	"time"
)

// Queue is a route by which callers submit jobs.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the failed runs of a task.
	MaxAttempts int
	// ObjectiveFactor and ObjectiveSlack say when a job should be completed; see job.Job.
	ObjectiveFactor float64
	ObjectiveSlack  time.Duration
	// Public queues need no key.
	Public bool
	// NeedsPermit says that each start needs a permit.
	NeedsPermit bool
}

// Service is a pool of workers that run the tasks of queues.
type Service struct {
	Name string
	// ChecksAdmission says that the workers reject runs that exceed their capacity.
	ChecksAdmission bool
	// PoweredOff says that the machines are off until they are moved.
	PoweredOff bool
}

// Team is a tenant of the system.
type Team struct {
	Name string
	Keys []string
	// GuaranteedAccelerators are reserved for jobs of priority 0.
	GuaranteedAccelerators int
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Teams    []Team
	// BodyBytes is the largest size of a request's body.
	BodyBytes int64

	teamOfKey map[string]string
}

// WithIndex returns the catalog ready for TeamOf.
func (c Catalog) WithIndex() *Catalog {
	c.teamOfKey = make(map[string]string)
	for _, t := range c.Teams {
		for _, k := range t.Keys {
			c.teamOfKey[k] = t.Name
		}
	}
	return &c
}

// Route returns the queue of a host with the longest prefix of the path.
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

// GuaranteedAccelerators returns how many are reserved for a team.
func (c *Catalog) GuaranteedAccelerators(team string) int {
	for _, t := range c.Teams {
		if t.Name == team {
			return t.GuaranteedAccelerators
		}
	}
	return 0
}
