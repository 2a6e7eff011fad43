package jobtest_test

import (
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
)

// disturbance is one random fault of a day.
type disturbance struct {
	*system
	// entry and agent are the indexes of the entry and the agent that the fault may affect.
	entry, agent int
	length       time.Duration
	// store is the fault of the store, for the kinds that inject one.
	store jobtest.Fault
}

// disturb injects a random fault. Faults overlap; each ends on its own.
func (s *system) disturb() {
	r := s.random
	d := &disturbance{system: s, entry: r.IntN(entryCount), agent: r.IntN(workerCount)}
	d.length = time.Duration(1000+r.IntN(6000)) * time.Millisecond
	stores := []jobtest.Fault{
		{Silent: true},
		{Refuse: true},
		{Reset: true},
		{Delay: 250 * time.Millisecond},
		{Lost: 0.4},
		{Lost: 0.4, Late: true},
	}
	d.store = stores[r.IntN(len(stores))]
	// The order of the kinds determines which faults a seed generates.
	kinds := []func(){
		d.restartEntry,
		d.restartAgent,
		d.failStoreOfEntry,
		d.failStore,
		d.cutAgent,
		d.cutEntry,
		d.crashWorker,
		d.loseWorker,
		d.delayOrders,
		d.drainWorker,
		d.freezeEntry,
		d.expireLogs,
		d.isolateEntry,
		d.cordonZone,
		d.cordonZone,
	}
	kinds[r.IntN(len(kinds))]()
}

func (d *disturbance) after(f func()) { time.AfterFunc(d.length, f) }

func (d *disturbance) worker() *jobtest.Worker { return d.system.worker[d.agent] }

func (d *disturbance) restartEntry() {
	d.restart(d.entries[d.entry], func() { d.startEntry(d.entry) }, d.length/3)
}

func (d *disturbance) restartAgent() {
	d.restart(d.agents[d.agent], func() { d.startAgent(d.agent) }, d.length/3)
}

func (d *disturbance) failStoreOfEntry() {
	name := d.entries[d.entry].name
	d.setFault(name, d.store)
	d.after(func() { d.setFault(name, jobtest.Fault{}) })
}

func (d *disturbance) failStore() {
	d.setFault("", d.store)
	d.after(func() { d.setFault("", jobtest.Fault{}) })
}

// cut drops all messages from one process to another for a time.
func (d *disturbance) cut(from, to *process, length time.Duration) {
	d.network.Cut("http://"+from.name, "http://"+to.name, true)
	time.AfterFunc(length, func() { d.network.Cut("http://"+from.name, "http://"+to.name, false) })
}

// cutAgent drops all messages from one agent to the entries.
func (d *disturbance) cutAgent() {
	for _, e := range d.entries {
		d.cut(d.agents[d.agent], e, d.length)
	}
}

// cutEntry drops all messages from the agents to one entry.
func (d *disturbance) cutEntry() {
	for _, a := range d.agents {
		d.cut(a, d.entries[d.entry], d.length)
	}
}

// isolateEntry drops all messages to one entry for a long time, while the entry still reaches the
// log.
func (d *disturbance) isolateEntry() {
	for _, p := range append(slices.Clone(d.agents), d.entries...) {
		d.cut(p, d.entries[d.entry], 3*d.length)
	}
}

func (d *disturbance) crashWorker() { d.worker().Crash(d.length) }

func (d *disturbance) loseWorker() {
	w := d.worker()
	w.SetUnreachable(true)
	d.after(func() { w.SetUnreachable(false) })
}

func (d *disturbance) delayOrders() {
	w := d.worker()
	w.SetLate(0.3)
	d.after(func() { w.SetLate(0) })
}

func (d *disturbance) drainWorker() { d.worker().Drain(d.length) }

func (d *disturbance) freezeEntry() {
	address := "http://" + d.entries[d.entry].name
	d.network.Freeze(address)
	d.after(func() { d.network.Thaw(address) })
}

func (d *disturbance) expireLogs() {
	d.log.Expire()
	d.config.Expire()
}

func (d *disturbance) cordonZone() {
	zone := zoneOf(d.agent)
	d.cordon(zone)
	time.AfterFunc(3*d.length, func() { d.uncordon(zone) })
}
