package ledger

import (
	"net/url"

	"yarrowgrade.example/yarrowgrade/internal/fault"
)

// Bounds of a worker's description.
const (
	maxAccelerators = 64
	maxSlots        = 1024
)

// Worker is a box with a target and its agent.
type Worker struct {
	Name string `json:"name"`
	// Region may be empty if there is only one region.
	Region       string `json:"region,omitempty"`
	Zone         string `json:"zone"`
	Rack         string `json:"rack"`
	Accelerators int    `json:"accelerators"`
	// Service is the service of the target; empty if the worker has no target.
	Service string `json:"service,omitempty"`
	// Address is the base URL of the agent.
	Address string `json:"address"`
	// Incarnation is a random ID that distinguishes this run of the agent from earlier ones.
	Incarnation string `json:"incarnation"`
	// Slots is the number of requests that the target serves concurrently.
	Slots int `json:"slots"`
	// Leaving means that the worker takes no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Joined is the offset of the record by which the incarnation joined. State sets it.
	Joined int64 `json:"joined,omitempty"`
	// Holders has the token of the placement that holds each accelerator, or zero if it is free.
	// State sets it.
	Holders []int64 `json:"holders,omitempty"`
	// Revision is the offset of the last record that changed this worker. State sets it.
	Revision int64 `json:"revision,omitempty"`
}

// Validate returns a *fault.Field for the first invalid field.
func (w Worker) Validate() error {
	for _, f := range []struct{ name, value string }{
		{"worker.name", w.Name},
		{"worker.zone", w.Zone},
		{"worker.rack", w.Rack},
	} {
		if !namePattern.MatchString(f.value) {
			return fault.BadField(f.name, "want 1 to 63 of a-z, 0-9, '.', '_' and '-', got %q", f.value)
		}
	}
	if w.Region != "" && !namePattern.MatchString(w.Region) {
		return fault.BadField("worker.region", "want nothing or 1 to 63 of a-z, 0-9, '.', '_' and '-', got %q", w.Region)
	}
	if w.Accelerators < 0 || w.Accelerators > maxAccelerators {
		return fault.BadField("worker.accelerators", "want 0 to %d, got %d", maxAccelerators, w.Accelerators)
	}
	if w.Slots < 0 || w.Slots > maxSlots {
		return fault.BadField("worker.slots", "want 0 to %d, got %d", maxSlots, w.Slots)
	}
	if w.Incarnation == "" {
		return fault.BadField("worker.incarnation", "must not be empty")
	}
	if u, err := url.Parse(w.Address); err != nil || u.Scheme != "http" || u.Host == "" {
		return fault.BadField("worker.address", "want a URL such as http://127.0.0.1:7200, got %q", w.Address)
	}
	return nil
}

// WithHolder returns the worker with the given accelerators assigned to the placement with the
// token. A token of zero frees them.
func (w Worker) WithHolder(accelerators []int, token, revision int64) Worker {
	holders := append([]int64(nil), w.Holders...)
	for _, a := range accelerators {
		holders[a] = token
	}
	w.Holders = holders
	w.Revision = revision
	return w
}

// WithRevision returns the worker with the given revision.
func (w Worker) WithRevision(revision int64) Worker {
	w.Revision = revision
	return w
}
