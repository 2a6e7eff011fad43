package catalog

import (
	"maps"
	"time"
)

// Cordon closes an availability zone: nothing starts on its workers until operators remove it.
type Cordon struct {
	Zone string `json:"zone"`
	// Revision is the offset of the newest record that sets the cordon.
	Revision int64 `json:"revision"`
	// Since is when this process first read of the cordon.
	Since time.Time `json:"since"`
}

// Cordons are the cordoned zones by their names. A value never changes.
type Cordons map[string]Cordon

// Has reports whether a zone is cordoned.
func (c Cordons) Has(zone string) bool {
	_, ok := c[zone]
	return ok
}

// With returns the cordons with one added, or with its newer record, which leaves Since as it is.
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

// Without returns the cordons without that of a zone.
func (c Cordons) Without(zone string) Cordons {
	next := maps.Clone(c)
	delete(next, zone)
	return next
}
