package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// idleLimit is the time for which a job whose turn has come may have nothing running while there is
// twice the room that it needs and less than half of the capacity is in use.
const idleLimit = 3 * time.Second

// watchInterval is the time between two looks at the workers.
const watchInterval = 100 * time.Millisecond

// idleWatch finds the jobs of a single step that have nothing running although there is room.
type idleWatch struct {
	c *cluster

	mu   sync.Mutex
	jobs []*watchedJob
}

type watchedJob struct {
	id    string
	tasks int
	// since is when the present stretch without a run began; zero if there is none.
	since   time.Time
	longest time.Duration
}

func newIdleWatch(c *cluster) *idleWatch { return &idleWatch{c: c} }

// add watches a job that has been accepted.
func (i *idleWatch) add(id string, tasks int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.jobs = append(i.jobs, &watchedJob{id: id, tasks: tasks})
}

func (i *idleWatch) ids() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	var ids []string
	for _, j := range i.jobs {
		ids = append(ids, j.id)
	}
	return ids
}

func (i *idleWatch) run() {
	for i.c.ctx.Err() == nil {
		i.look(time.Now())
		sleep(i.c.ctx, watchInterval)
	}
}

// look extends or ends the stretches of all jobs.
func (i *idleWatch) look(now time.Time) {
	running := map[string]int{}
	var used, total capacity
	for _, w := range i.c.workers {
		for _, task := range w.running() {
			running[jobOf(task)]++
			used.CPU, used.MemMB = used.CPU+needs.CPU, used.MemMB+needs.MemMB
		}
		total.CPU, total.MemMB = total.CPU+w.capacity.CPU, total.MemMB+w.capacity.MemMB
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, j := range i.jobs {
		left := j.tasks - i.c.log.doneTasks(j.id)
		room := total.CPU-used.CPU >= 2*left*needs.CPU && total.MemMB-used.MemMB >= 2*left*needs.MemMB
		free := 2*used.CPU < total.CPU && 2*used.MemMB < total.MemMB
		if left == 0 || running[j.id] > 0 || !room || !free {
			j.since = time.Time{}
			continue
		}
		if j.since.IsZero() {
			j.since = now
		}
		j.longest = max(j.longest, now.Sub(j.since))
	}
}

func (i *idleWatch) findings() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	var found []string
	for _, j := range i.jobs {
		if j.longest > idleLimit {
			found = append(found, fmt.Sprintf("job %s: %d of %d tasks done; nothing ran for %.1f s although there was room",
				j.id, i.c.log.doneTasks(j.id), j.tasks, j.longest.Seconds()))
		}
	}
	return found
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
