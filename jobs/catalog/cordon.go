package catalog

import (
	"maps"
	"time"
)

// Cordon is an availability zone that operators have emptied: nothing more starts on its workers until they take the cordon away.
type Cordon struct {
	Zone string `json:"zone"`
	// Revision is the place of its record among operators' records; Since is when this process read the first of them.
	Revision int64     `json:"revision"`
	Since    time.Time `json:"since"`
}

// Cordons are the cordoned availability zones by their names. A value never changes.
type Cordons map[string]Cordon

// Has reports whether a zone is cordoned.
func (c Cordons) Has(zone string) bool {
	_, ok := c[zone]
	return ok
}

// With returns the cordons with one more, or with a newer record of one: its beginning stays.
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
