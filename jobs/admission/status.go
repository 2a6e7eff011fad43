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

// JobsStatus is what an entry knows of the configuration, the cordons and the leader.
type JobsStatus struct {
	// Version is that of the newest configuration; zero if none has come.
	Version int64 `json:"version"`
	// ProofMillis is how old the proof is that there are no newer cordons; -1 if there is none.
	ProofMillis int64 `json:"proof_ms"`
	// Cordons are the cordoned availability zones, sorted by name.
	Cordons []catalog.Cordon `json:"cordons"`
	// Leader is the address of the entry that leads, as far as it is known.
	Leader string `json:"leader"`
}

func (o *Operators) serveStatus(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	c, _ := o.catalog.Current()
	_, proof := o.catalog.Cordons()
	leader, _, _ := o.replica.Leader()
	status := JobsStatus{ProofMillis: -1, Cordons: o.cordons(), Leader: leader.Address}
	if c != nil {
		status.Version = c.Version
	}
	if !proof.IsZero() {
		status.ProofMillis = time.Since(proof).Milliseconds()
	}
	jsonhttp.Write(w, http.StatusOK, status)
}

// cordons lists the cordoned zones, sorted by name.
func (o *Operators) cordons() []catalog.Cordon {
	cordons, _ := o.catalog.Cordons()
	list := slices.Collect(maps.Values(cordons))
	slices.SortFunc(list, func(a, b catalog.Cordon) int { return cmp.Compare(a.Zone, b.Zone) })
	if list == nil {
		return []catalog.Cordon{}
	}
	return list
}
