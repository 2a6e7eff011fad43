package dispatch

import (
	"net/http"

	"yarrowgrade.example/yarrowgrade/assignment"
	"yarrowgrade.example/yarrowgrade/jsonhttp"
)

// ServePoll answers an agent's poll, or says where the dispatcher is.
func (d *Dispatcher) ServePoll(w http.ResponseWriter, r *http.Request) {
	var poll assignment.Poll
	if err := jsonhttp.Read(w, r, &poll); err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	answer, ok := d.desk.serve(r.Context(), poll)
	if !ok {
		jsonhttp.Write(w, http.StatusConflict, d.redirect())
		return
	}
	jsonhttp.Write(w, http.StatusOK, answer)
}

// ServeLeader says where the dispatcher is.
func (d *Dispatcher) ServeLeader(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.Write(w, http.StatusOK, d.redirect())
}

func (d *Dispatcher) redirect() assignment.Redirect {
	leader, _, _ := d.parts.Replica.Leader()
	return assignment.Redirect{Term: leader.Term, Address: leader.Address, Self: d.settings.Name}
}
