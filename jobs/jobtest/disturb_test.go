package jobtest_test

import (
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
)

// disturbance is one drawn fault of a day.
type disturbance struct {
	*system
	// entry and agent are the indexes of those that it may strike.
	entry, agent int
	length       time.Duration
	// store is how the store fails, if it does.
	store jobtest.Fault
}

// disturb draws a fault and injects it. Faults overlap; each ends by itself.
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
	// The order of the kinds decides what a seed draws.
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

// cut drops all messages from one process to another.
func (d *disturbance) cut(from, to *process, length time.Duration) {
	d.network.Cut("http://"+from.name, "http://"+to.name, true)
	time.AfterFunc(length, func() { d.network.Cut("http://"+from.name, "http://"+to.name, false) })
}

// cutAgent lets no entry hear one agent.
func (d *disturbance) cutAgent() {
	for _, e := range d.entries {
		d.cut(d.agents[d.agent], e, d.length)
	}
}

// cutEntry lets one entry hear no agent.
func (d *disturbance) cutEntry() {
	for _, a := range d.agents {
		d.cut(a, d.entries[d.entry], d.length)
	}
}

// isolateEntry lets one entry hear nobody for a long time, while it still reaches the log.
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

func (d *disturbance) drainWorker() { d.worker().Leave(d.length) }

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
