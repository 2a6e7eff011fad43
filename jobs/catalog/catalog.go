// Package catalog holds the configuration that operators set for jobs: queues, services, teams and
// cordoned availability zones.
//
// The package owns the rules by which operators' records take effect. Catalog and Cordons values
// are immutable. A Follower reads the records, keeps the newest Catalog and never reverts to an
// older version. It also reports when it last confirmed that no record is newer. Records are
// read through package topic, and decoded by a Format that package platform provides.
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

// Queue is a route through which callers submit jobs.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority 0 is the most urgent.
	Priority int
	// MaxAttempts limits the number of failed runs of a task.
	MaxAttempts int
	// ObjectiveFactor and ObjectiveSlack define the completion objective of a job; see job.Job.
	ObjectiveFactor float64
	ObjectiveSlack  time.Duration
	// Public means that callers need no key.
	Public bool
	// NeedsPermit means that each start requires a permit.
	NeedsPermit bool
}

// Service is a pool of workers that run the tasks of queues.
type Service struct {
	Name string
	// ChecksAdmission means that the workers reject runs that exceed their capacity.
	ChecksAdmission bool
	// PoweredOff means that the boxes of the service are powered off until they are moved.
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
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64

	teamOfKey map[string]string
}

// WithIndex returns a copy of the catalog with the index that TeamOf needs.
func (c Catalog) WithIndex() *Catalog {
	c.teamOfKey = make(map[string]string)
	for _, t := range c.Teams {
		for _, k := range t.Keys {
			c.teamOfKey[k] = t.Name
		}
	}
	return &c
}

// Route returns the queue of a host whose prefix is the longest match for the path.
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

// GuaranteedAccelerators returns the number of accelerators that are reserved for a team.
func (c *Catalog) GuaranteedAccelerators(team string) int {
	for _, t := range c.Teams {
		if t.Name == team {
			return t.GuaranteedAccelerators
		}
	}
	return 0
}
