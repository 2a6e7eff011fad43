package catalog

import (
	"maps"
	"time"
)

// Cordon excludes an availability zone from scheduling: nothing starts on its workers until
// operators remove the cordon.
type Cordon struct {
	Zone string `json:"zone"`
	// Revision is the offset of the newest record that sets the cordon.
	Revision int64 `json:"revision"`
	// Since is when this process first read of the cordon.
	Since time.Time `json:"since"`
}

// Cordons maps the names of cordoned zones to their cordons. Values are immutable.
type Cordons map[string]Cordon

// Has reports whether a zone is cordoned.
func (c Cordons) Has(zone string) bool {
	_, ok := c[zone]
	return ok
}

// With returns a copy of the cordons with one added. If the zone is already cordoned, the new
// cordon replaces the old one but keeps its Since.
func (c Cordons) With(added Cordon) Cordons {
	if old, ok := c[added.Zone]; ok {
		added.Since = old.Since
	}
	next := maps.Clone(c)
	if next == nil {
		next = Cordons{}
	}
	next[added.Zone] = added
	return next
}

// Without returns a copy of the cordons without the given zone.
func (c Cordons) Without(zone string) Cordons {
	next := maps.Clone(c)
	delete(next, zone)
	return next
}
