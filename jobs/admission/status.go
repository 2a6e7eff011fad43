package admission

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/julienschmidt/httprouter"

	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/jobs/catalog"
)

// JobsStatus is an entry's view of the configuration, the cordons and the leader.
type JobsStatus struct {
	// Version is the version of the newest configuration; zero if none was received.
	Version int64 `json:"version"`
	// ProofMillis is the time since the cordons were last confirmed to be current; -1 if they never
	// were.
	ProofMillis int64 `json:"proof_ms"`
	// Cordons lists the cordoned availability zones, sorted by name.
	Cordons []catalog.Cordon `json:"cordons"`
	// Leader is the address of the last known leader.
	Leader string `json:"leader"`
}

func (o *OperatorHandler) serveStatus(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	c, _ := o.catalog.Current()
	_, syncedAt := o.catalog.Cordons()
	leader, _, _ := o.replica.Leader()
	status := JobsStatus{ProofMillis: -1, Cordons: o.cordons(), Leader: leader.Address}
	if c != nil {
		status.Version = c.Version
	}
	if !syncedAt.IsZero() {
		status.ProofMillis = time.Since(syncedAt).Milliseconds()
	}
	jsonhttp.Write(w, http.StatusOK, status)
}

// cordons returns the cordoned availability zones, sorted by name.
func (o *OperatorHandler) cordons() []catalog.Cordon {
	cordons, _ := o.catalog.Cordons()
	list := slices.Collect(maps.Values(cordons))
	slices.SortFunc(list, func(a, b catalog.Cordon) int { return cmp.Compare(a.Zone, b.Zone) })
	if list == nil {
		return []catalog.Cordon{}
	}
	return list
}
