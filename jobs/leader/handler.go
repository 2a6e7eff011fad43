package leader

import (
	"net/http"

	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// ServePoll handles an agent's poll. It responds with 200 and an assignment.Answer, or with 409 and
// an assignment.Redirect if this entry does not lead or a newer process of the agent is active.
func (c *Candidate) ServePoll(w http.ResponseWriter, r *http.Request) {
	var poll assignment.Poll
	if err := jsonhttp.Read(w, r, &poll); err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	answer, ok := c.fleet.serve(r.Context(), poll)
	if !ok {
		redirect := c.redirect()
		redirect.Superseded = c.fleet.supersedes(poll, redirect.Term)
		jsonhttp.Write(w, http.StatusConflict, redirect)
		return
	}
	jsonhttp.Write(w, http.StatusOK, answer)
}

// ServeLeader responds with 200 and an assignment.Redirect to the leader known to this entry.
func (c *Candidate) ServeLeader(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.Write(w, http.StatusOK, c.redirect())
}

func (c *Candidate) redirect() assignment.Redirect {
	leader, _, _ := c.deps.Replica.Leader()
	return assignment.Redirect{Term: leader.Term, Address: leader.Address, EntryIncarnation: c.settings.Incarnation}
}
