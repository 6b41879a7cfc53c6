package world

import (
	"sync"
	"sync/atomic"
	"time"
)

// job is one piece of work at a station.
type job struct {
	work     time.Duration
	done     func()
	timer    *time.Timer
	started  bool
	finished bool
}

const stallThreshold = 5 * time.Millisecond

// station is cores with a waiting room before them. Its cores' speed may change; a job keeps the speed that it began
// with.
type workQueue struct {
	completed   atomic.Int64
	stalled     atomic.Int64 // of those: the stand-in itself was late, whatever the proxies did
	mu          sync.Mutex
	cores       int
	queueLimit  int
	running     int
	waiting     []*job
	speed       func(waiting int) float64 // 1: as stated; 0: stands still
	pausedUntil time.Time                 // nothing begins before
}

// offer takes a job in; false: there is no room, and it never ran.
func (s *workQueue) offer(j *job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.cores && len(s.waiting) >= s.queueLimit {
		return false
	}
	s.waiting = append(s.waiting, j)
	s.startWaiting()
	return true
}

func (s *workQueue) startWaiting() {
	for len(s.waiting) > 0 && s.running < s.cores {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		j.started = true
		span := time.Duration(float64(j.work) / max(s.speed(len(s.waiting)), 0.001))
		if wait := time.Until(s.pausedUntil); wait > 0 {
			span += wait
		}
		due := time.Now().Add(span)
		j.timer = time.AfterFunc(span, func() {
			s.completed.Add(1)
			if time.Since(due) > stallThreshold {
				s.stalled.Add(1)
			}
			s.finish(j)
		})
	}
}

func (s *workQueue) finish(j *job) {
	s.mu.Lock()
	if j.finished {
		s.mu.Unlock()
		return
	}
	j.finished = true
	s.running--
	s.startWaiting()
	s.mu.Unlock()
	j.done()
}

// cancel takes a job back that nobody waits for; running: also one that has begun.
func (s *workQueue) cancel(j *job, running bool) (removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.finished {
		return false
	}
	if !j.started {
		for i, w := range s.waiting {
			if w == j {
				s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
				break
			}
		}
		j.finished = true
		return true
	}
	if running {
		j.finished = true
		j.timer.Stop()
		s.running--
		s.startWaiting()
		return true
	}
	return false
}

// hold lets nothing new begin for a while; what runs takes so much longer.
func (s *workQueue) pauseUntil(until time.Time) {
	s.mu.Lock()
	s.pausedUntil = until
	s.mu.Unlock()
}

// clear drops all work, as a process that dies does.
func (s *workQueue) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.waiting {
		j.finished = true
	}
	s.waiting, s.running = nil, 0
}

func (s *workQueue) load() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.waiting)
}
