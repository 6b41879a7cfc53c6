package world

import (
	"sync"
	"sync/atomic"
	"time"
)

// job is one piece of work of a stand-in.
type job struct {
	work     time.Duration // core time at full speed
	done     func()        // called when the work is complete
	timer    *time.Timer
	started  bool // it occupies or occupied a core
	finished bool // it is complete or was cancelled
}

// stallThreshold is how late a job's timer may fire before the stand-in counts as stalled.
const stallThreshold = 5 * time.Millisecond

// minSpeed is the lower limit of a work queue's speed, as a factor on the speed of a core.
const minSpeed = 0.001

// workQueue runs jobs on a number of cores, behind a bounded queue. Its speed may change; a job keeps the speed that it started with.
type workQueue struct {
	completed   atomic.Int64 // jobs whose timer has fired
	stalled     atomic.Int64 // those of them whose timer fired more than stallThreshold late, because the laboratory stalled
	mu          sync.Mutex
	cores       int
	queueLimit  int // jobs that may wait
	running     int // jobs that occupy a core
	waiting     []*job
	speed       func(waiting int) float64 // factor on the speed of a core; 1: full speed
	pausedUntil time.Time                 // a job that gets a core before starts its work then
}

// offer queues a job. It returns false when the queue is full; the job never runs then.
func (q *workQueue) offer(j *job) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.running >= q.cores && len(q.waiting) >= q.queueLimit {
		return false
	}
	q.waiting = append(q.waiting, j)
	q.startWaiting()
	return true
}

// startWaiting starts waiting jobs on free cores; the caller holds the mutex.
func (q *workQueue) startWaiting() {
	for len(q.waiting) > 0 && q.running < q.cores {
		j := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.running++
		j.started = true
		duration := time.Duration(float64(j.work) / max(q.speed(len(q.waiting)), minSpeed))
		if wait := time.Until(q.pausedUntil); wait > 0 {
			duration += wait
		}
		due := time.Now().Add(duration)
		j.timer = time.AfterFunc(duration, func() {
			q.completed.Add(1)
			if time.Since(due) > stallThreshold {
				q.stalled.Add(1)
			}
			q.finish(j)
		})
	}
}

// finish frees the core of a job and calls its done function, unless it was cancelled.
func (q *workQueue) finish(j *job) {
	q.mu.Lock()
	if j.finished {
		q.mu.Unlock()
		return
	}
	j.finished = true
	q.running--
	q.startWaiting()
	q.mu.Unlock()
	j.done()
}

// cancel removes a waiting job and, with includeStarted, a running one, whose core it frees. It reports whether the job was removed.
func (q *workQueue) cancel(j *job, includeStarted bool) (removed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if j.finished {
		return false
	}
	if !j.started {
		for i, w := range q.waiting {
			if w == j {
				q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
				break
			}
		}
		j.finished = true
		return true
	}
	if includeStarted {
		j.finished = true
		j.timer.Stop()
		q.running--
		q.startWaiting()
		return true
	}
	return false
}

// pauseUntil delays the work of jobs that get a core before a time until that time; running jobs are not affected.
func (q *workQueue) pauseUntil(until time.Time) {
	q.mu.Lock()
	q.pausedUntil = until
	q.mu.Unlock()
}

// clear drops all work, as a process that dies does.
func (q *workQueue) clear() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, j := range q.waiting {
		j.finished = true
	}
	q.waiting, q.running = nil, 0
}

// load returns the number of running and of waiting jobs.
func (q *workQueue) load() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, len(q.waiting)
}
