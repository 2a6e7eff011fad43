package leader

import (
	"testing"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/catalog"
)

// TestWorkerList checks that the status lists each worker that has reported, the number of its
// runs, its former incarnations, and the cordon of its zone.
func TestWorkerList(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, env *environment) {
		inZone := workerState
		inZone.Zone = "zone-1"
		p := poll(1)
		p.State, p.Runs = &inZone, []assignment.Run{{RunID: desiredRun}}
		ask(t, fl, p)
		env.cordons = catalog.Cordons{}.With(catalog.Cordon{Zone: "zone-1", Revision: 7})
		list, ok := fl.status()
		if !ok || len(list) != 1 {
			t.Fatalf("got %+v, %v", list, ok)
		}
		if w := list[0]; w.Worker != "w" || w.Runs != 1 || w.Cordon == nil || w.Cordon.Revision != 7 {
			t.Errorf("got %+v", w)
		}
		next := inZone
		next.ID.StartMillis++
		p.Sequence, p.State = 2, &next
		ask(t, fl, p)
		if list, _ := fl.status(); list[0].Incarnation != next.ID || len(list[0].Former) != 1 ||
			list[0].Former[0] != inZone.ID {
			t.Errorf("after the worker restarted under the same instance: got %+v, want one former incarnation", list)
		}
		fl.close()
		if list, ok := fl.status(); ok {
			t.Errorf("an entry that does not lead returns %+v", list)
		}
	})
}
