package leader

import (
	"net/http"

	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// ServePoll answers an agent's poll: 200 with an assignment.Answer, or 409 with an
// assignment.Redirect if this entry does not lead or hears a newer process of the agent.
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

// ServeLeader answers 200 with an assignment.Redirect to the leader, as far as this entry knows
// it.
func (c *Candidate) ServeLeader(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.Write(w, http.StatusOK, c.redirect())
}

func (c *Candidate) redirect() assignment.Redirect {
	leader, _, _ := c.deps.Replica.Leader()
	return assignment.Redirect{Term: leader.Term, Address: leader.Address, EntryIncarnation: c.settings.Incarnation}
}
