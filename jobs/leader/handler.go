package leader

import (
	"net/http"

	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// ServePoll answers an agent's poll, or says where the leader is.
func (c *Candidate) ServePoll(w http.ResponseWriter, r *http.Request) {
	var poll assignment.Poll
	if err := jsonhttp.Read(w, r, &poll); err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	answer, ok := c.leases.serve(r.Context(), poll)
	if !ok {
		jsonhttp.Write(w, http.StatusConflict, c.redirect())
		return
	}
	jsonhttp.Write(w, http.StatusOK, answer)
}

// ServeLeader says where the leader is.
func (c *Candidate) ServeLeader(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.Write(w, http.StatusOK, c.redirect())
}

func (c *Candidate) redirect() assignment.Redirect {
	leader, _, _ := c.deps.Replica.Leader()
	return assignment.Redirect{Term: leader.Term, Address: leader.Address, Self: c.settings.Incarnation}
}
