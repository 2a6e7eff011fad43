package main

import (
	"fmt"
	"strings"
	"time"
)

// Capacities of workers: those of crst-yarrow, and those of parkomat-sof.
var (
	smallWorker = resources{cpu: 32000, mem: 65536, gpu: 8}
	largeWorker = resources{cpu: 128000, mem: 262144, gpu: 8}
)

// Queues: an ordinary one and an urgent one.
const (
	ordinary = "/q/"
	urgent   = "/u/"
)

func queues(maxAttempts int) []queue {
	return []queue{
		{prefix: ordinary, priority: 1, maxAttempts: maxAttempts},
		{prefix: urgent, priority: 0, maxAttempts: maxAttempts},
	}
}

const (
	// mostTasks is the number of tasks that the system accepts in a job.
	mostTasks = 2000
	// specBytes is the longest spec that the pages allow.
	specBytes = 4000
	// settle is how long a case waits at its end. It is longer than finish_s.
	settle = 25 * time.Second
	// lasts is a work time that no case outlasts.
	lasts = 110 * time.Second
	// shortWork is the work time of a small task.
	shortWork = 1500 * time.Millisecond
)

func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a21d9400000+n) }

// oneStep returns a job of one step.
func oneStep(s stepDocument) jobDocument {
	return jobDocument{Spec: "a step", Steps: []stepDocument{s}}
}

// smallStep is a step of small tasks.
func smallStep(tasks int) stepDocument {
	return stepDocument{Count: tasks, CPU: 4000, MemMB: 4000, GPU: 1, EstimateMs: 1500}
}

// wholeStep is a step of tasks that each need all accelerators of a worker.
func wholeStep(tasks int) stepDocument {
	return stepDocument{Count: tasks, CPU: 16000, MemMB: 32000, GPU: 8, EstimateMs: 3000}
}

// urgentBurst plays urgent jobs of many tasks, which come at once while a batch is running. The tasks of
// a short job end meanwhile, one after the other.
func urgentBurst(t *trace, trouble bool) (string, error) {
	const urgentJobs, shortTasks, shortTime = 5, 200, 3 * time.Second
	c, err := newCluster(t, 3, []int{3, 1}, largeWorker, queues(3)...)
	defer c.close()
	if err != nil {
		return "", err
	}
	short := jobID(10)
	c.world.plan = func(_ *worker, task string, _ int) (time.Duration, string) {
		if strings.HasPrefix(task, short) {
			// They end one after the other.
			index := int64Of(task[strings.LastIndex(task, ".")+1:])
			return shortTime + time.Duration(index)*100*time.Millisecond, "done"
		}
		return lasts, "done"
	}
	if err := c.awaitReady(); err != nil {
		return "", err
	}
	for i := range 4 {
		c.submit(i%3, urgent, jobID(i), oneStep(stepDocument{Count: mostTasks / 4, CPU: 200, MemMB: 100, EstimateMs: 90000}))
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	c.submit(2, ordinary, short, oneStep(stepDocument{Count: shortTasks, CPU: 10, MemMB: 10, EstimateMs: 6000}))
	time.Sleep(2 * time.Second)
	if trouble {
		for i := range urgentJobs {
			c.submit(i%3, urgent, jobID(50+i), oneStep(stepDocument{Count: mostTasks, CPU: 2000, MemMB: 100, EstimateMs: 5000}))
		}
	}
	time.Sleep(settle + 5*time.Second)
	t.log("case", "the short job, whose tasks are all done, is %s", c.state(0, ordinary, short))
	return unreadEnds(c.world, 10*time.Second), nil
}

// largeAnswer plays a large job of small tasks with a long spec. Without the disruption, the same tasks
// come as ten jobs, one after the other.
func largeAnswer(t *trace, trouble bool) (string, error) {
	c, err := newCluster(t, 3, []int{3}, largeWorker, queues(3)...)
	defer c.close()
	if err != nil {
		return "", err
	}
	other := jobID(0)
	c.world.plan = func(_ *worker, task string, _ int) (time.Duration, string) {
		if strings.HasPrefix(task, other) {
			return lasts, "done"
		}
		return shortWork, "done"
	}
	if err := c.awaitReady(); err != nil {
		return "", err
	}
	c.submit(0, ordinary, other, oneStep(stepDocument{Count: 6, CPU: 1000, MemMB: 4000, GPU: 1, EstimateMs: 60000}))
	time.Sleep(2 * time.Second)
	jobs := 10
	if trouble {
		jobs = 1
	}
	var ids []string
	for i := range jobs {
		j := oneStep(stepDocument{Count: mostTasks / jobs, CPU: 60, MemMB: 100, EstimateMs: 1500})
		j.Spec = strings.Repeat("a line of the night's batch; ", specBytes)[:specBytes]
		ids = append(ids, jobID(10+i))
		if status := c.submit(i%3, ordinary, ids[i], j); status != 200 {
			return "", fmt.Errorf("the job was not accepted: %d", status)
		}
		if !trouble {
			time.Sleep(time.Second)
		}
	}
	time.Sleep(settle)
	return c.neverStarted(ordinary, ids...), nil
}

// lostWorker plays a gang that is faster within one rack, after a worker of the only rack of its size
// is lost for good.
func lostWorker(t *trace, trouble bool) (string, error) {
	c, err := newCluster(t, 3, []int{3, 2, 2, 2}, largeWorker, queues(3)...)
	defer c.close()
	if err != nil {
		return "", err
	}
	c.world.plan = func(*worker, string, int) (time.Duration, string) { return 2 * shortWork, "done" }
	if err := c.awaitReady(); err != nil {
		return "", err
	}
	c.submit(0, ordinary, jobID(0), oneStep(smallStep(8)))
	time.Sleep(time.Second)
	if trouble {
		c.world.workers[0].crash(time.Hour)
	}
	time.Sleep(15 * time.Second)
	gang := wholeStep(3)
	gang.Gang, gang.SameRack = true, true
	if status := c.submit(1, ordinary, jobID(10), oneStep(gang)); status != 200 {
		return "", fmt.Errorf("the job was not accepted: %d", status)
	}
	time.Sleep(settle)
	return c.neverStarted(ordinary, jobID(10)), nil
}

// gangFailure plays a gang of two whose first run fails on both workers, one of which is cut off for a
// while.
func gangFailure(t *trace, trouble bool) (string, error) {
	const attempts, cut = 2, 11 * time.Second
	c, err := newCluster(t, 3, []int{3}, smallWorker, queues(attempts)...)
	defer c.close()
	if err != nil {
		return "", err
	}
	c.world.plan = func(w *worker, task string, run int) (time.Duration, string) {
		if run > 1 {
			return 4 * shortWork, "done"
		}
		if trouble && strings.HasSuffix(task, ".1") {
			time.AfterFunc(500*time.Millisecond, func() { w.cutOff(cut) })
		}
		return time.Second, "failed"
	}
	if err := c.awaitReady(); err != nil {
		return "", err
	}
	gang := wholeStep(2)
	gang.Gang = true
	if status := c.submit(0, ordinary, jobID(0), oneStep(gang)); status != 200 {
		return "", fmt.Errorf("the job was not accepted: %d", status)
	}
	state := c.awaitState(ordinary, jobID(0), 40*time.Second, "completed", "failed")
	if state != "completed" && state != "failed" {
		return "", fmt.Errorf("the job is still %s", state)
	}
	return failedWithoutCause(c.world, jobID(0), state, attempts), nil
}

// unansweredStart plays a worker that leaves some orders to start a task without an answer and carries
// them out late, and that begins to drain meanwhile.
func unansweredStart(t *trace, trouble bool) (string, error) {
	const lost, late = 3, 8 * time.Second
	c, err := newCluster(t, 3, []int{3, 1}, smallWorker, queues(3)...)
	defer c.close()
	if err != nil {
		return "", err
	}
	c.world.plan = func(*worker, string, int) (time.Duration, string) { return shortWork, "done" }
	target, attempts := jobID(90), 0
	for _, w := range c.world.workers {
		w.loses = func(task string, _ int) (time.Duration, bool) {
			if !strings.HasPrefix(task, target) {
				return 0, false
			}
			attempts++
			if attempts == 1 {
				go w.drain(10 * time.Second)
			}
			return late, trouble && attempts <= lost
		}
	}
	if err := c.awaitReady(); err != nil {
		return "", err
	}
	for i := range 6 {
		c.submit(i%3, ordinary, jobID(i), oneStep(smallStep(2)))
	}
	time.Sleep(3 * time.Second)
	if status := c.submit(0, ordinary, target, oneStep(smallStep(1))); status != 200 {
		return "", fmt.Errorf("the job was not accepted: %d", status)
	}
	time.Sleep(late)
	if attempts == 0 {
		return "", fmt.Errorf("no order to start the task arrived")
	}
	return startsAfterDraining(c.world), nil
}

// cancelInDoubt plays a submission whose writes to the store get no answer and are done seconds later.
// The client hears 504, gives up and cancels the job.
func cancelInDoubt(t *trace, trouble bool) (string, error) {
	const late = 5900 * time.Millisecond
	c, err := newCluster(t, 3, []int{3, 1}, smallWorker, queues(3)...)
	defer c.close()
	if err != nil {
		return "", err
	}
	c.world.plan = func(*worker, string, int) (time.Duration, string) { return shortWork, "done" }
	if err := c.awaitReady(); err != nil {
		return "", err
	}
	id := jobID(0)
	if trouble {
		c.store.lose(func(records []storeRecord) (time.Duration, bool) { return late, records[0].key == "j/"+id })
	}
	go func() {
		for i := range 12 {
			c.submit(1+i%2, ordinary, jobID(10+i), oneStep(smallStep(1)))
			time.Sleep(100 * time.Millisecond)
		}
	}()
	c.submit(0, ordinary, id, oneStep(smallStep(1)))
	c.store.lose(nil)
	status, _ := c.request(0, "DELETE", ordinary+id, nil)
	answered := time.Now()
	if status != 200 && status != 410 {
		return "", fmt.Errorf("the cancel was answered with %d", status)
	}
	time.Sleep(8 * time.Second)
	c.state(0, ordinary, id)
	return startsAfterCancel(c.world, id, answered, status), nil
}

// lateHeartbeats plays a worker whose heartbeats are cut off for a while. Three of them, sent during the
// cut, arrive only after the worker has said that it drains.
func lateHeartbeats(t *trace, trouble bool) (string, error) {
	const cut, late = 5 * time.Second, 2200 * time.Millisecond
	c, err := newCluster(t, 3, []int{3}, smallWorker, queues(3)...)
	defer c.close()
	if err != nil {
		return "", err
	}
	c.world.plan = func(_ *worker, task string, _ int) (time.Duration, string) {
		if c.world.step(task).GPU == 8 {
			return lasts, "done"
		}
		return shortWork, "done"
	}
	if err := c.awaitReady(); err != nil {
		return "", err
	}
	for i := range 2 {
		c.submit(i, ordinary, jobID(i), oneStep(wholeStep(1)))
	}
	time.Sleep(2 * time.Second)
	idle := c.world.idle()
	if idle == nil {
		return "", fmt.Errorf("no worker is idle")
	}
	var held []func()
	if trouble {
		t.log(idle.name, "the link of its heartbeats is cut for %v", cut)
		idle.divert(func(sequence int, body []byte) {
			id := idle.id
			t.log(idle.name, "heartbeat %d is held up", sequence)
			held = append(held, func() {
				t.log(idle.name, "heartbeat %d arrives: acknowledged %v", sequence, idle.send(id, sequence, false, body))
			})
		})
	}
	time.Sleep(cut)
	idle.divert(nil)
	t.log(idle.name, "the link works")
	time.Sleep(heartbeatInterval)
	idle.drain(12 * time.Second)
	time.Sleep(500 * time.Millisecond)
	for i := range 3 {
		c.submit(i, ordinary, jobID(10+i), oneStep(smallStep(1)))
	}
	time.Sleep(late - 500*time.Millisecond)
	for _, deliver := range held[:min(3, len(held))] {
		deliver()
	}
	time.Sleep(3 * time.Second)
	if idle.drainAcked.IsZero() {
		return "", fmt.Errorf("the draining was not acknowledged")
	}
	return startsAfterDraining(c.world), nil
}

// lastingJob plays a job that lasts, whose worker crashes three times.
func lastingJob(t *trace, trouble bool) (string, error) {
	const crashes, away = 3, 4500 * time.Millisecond
	c, err := newCluster(t, 3, []int{3, 3, 1}, largeWorker, queues(3)...)
	defer c.close()
	if err != nil {
		return "", err
	}
	c.world.plan = func(*worker, string, int) (time.Duration, string) { return 0, "" }
	if err := c.awaitReady(); err != nil {
		return "", err
	}
	step := wholeStep(1)
	step.LongRunning, step.EstimateMs = true, 0
	if status := c.submit(0, ordinary, jobID(0), oneStep(step)); status != 200 {
		return "", fmt.Errorf("the job was not accepted: %d", status)
	}
	for range crashes {
		time.Sleep(8 * time.Second)
		if w := c.world.runs(jobID(0)); w != nil && trouble {
			w.crash(away)
		}
	}
	time.Sleep(12 * time.Second)
	return failedWithoutCause(c.world, jobID(0), c.state(0, ordinary, jobID(0)), 1), nil
}

// hopelessGang plays a gang that needs every worker while a job that lasts holds one of them. A small
// job comes after it.
func hopelessGang(t *trace, trouble bool) (string, error) {
	c, err := newCluster(t, 3, []int{3, 1}, smallWorker, queues(3)...)
	defer c.close()
	if err != nil {
		return "", err
	}
	c.world.plan = func(_ *worker, task string, _ int) (time.Duration, string) {
		if c.world.step(task).LongRunning {
			return 0, ""
		}
		return shortWork, "done"
	}
	if err := c.awaitReady(); err != nil {
		return "", err
	}
	lasting := wholeStep(1)
	lasting.LongRunning, lasting.EstimateMs = true, 0
	c.submit(0, ordinary, jobID(0), oneStep(lasting))
	time.Sleep(2 * time.Second)
	if trouble {
		gang := wholeStep(4)
		gang.Gang, gang.EstimateMs = true, 20000
		c.submit(1, ordinary, jobID(5), oneStep(gang))
	}
	time.Sleep(time.Second)
	small := smallStep(1)
	small.EstimateMs = 30000
	c.submit(2, ordinary, jobID(10), oneStep(small))
	time.Sleep(settle)
	return c.neverStarted(ordinary, jobID(10)), nil
}
