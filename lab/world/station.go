package world

import (
	"sync"
	"sync/atomic"
	"time"
)

// job is one piece of work at a station.
type job struct {
	work  time.Duration
	done  func()
	timer *time.Timer
	begun bool
	over  bool
}

const stallBound = 5 * time.Millisecond

// station is cores with a waiting room before them. Its cores' speed may change; a job keeps the speed that it began
// with.
type station struct {
	ended   atomic.Int64
	stalled atomic.Int64 // of those: the stand-in itself was late, whatever the proxies did
	mu      sync.Mutex
	cores   int
	room    int
	running int
	waiting []*job
	speed   func(waiting int) float64 // 1: as stated; 0: stands still
	still   time.Time                 // nothing begins before
}

// offer takes a job in; false: there is no room, and it never ran.
func (s *station) offer(j *job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.cores && len(s.waiting) >= s.room {
		return false
	}
	s.waiting = append(s.waiting, j)
	s.next()
	return true
}

func (s *station) next() {
	for len(s.waiting) > 0 && s.running < s.cores {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		j.begun = true
		span := time.Duration(float64(j.work) / max(s.speed(len(s.waiting)), 0.001))
		if wait := time.Until(s.still); wait > 0 {
			span += wait
		}
		due := time.Now().Add(span)
		j.timer = time.AfterFunc(span, func() {
			s.ended.Add(1)
			if time.Since(due) > stallBound {
				s.stalled.Add(1)
			}
			s.finish(j)
		})
	}
}

func (s *station) finish(j *job) {
	s.mu.Lock()
	if j.over {
		s.mu.Unlock()
		return
	}
	j.over = true
	s.running--
	s.next()
	s.mu.Unlock()
	j.done()
}

// cancel takes a job back that nobody waits for; running: also one that has begun.
func (s *station) cancel(j *job, running bool) (gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.over {
		return false
	}
	if !j.begun {
		for i, w := range s.waiting {
			if w == j {
				s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
				break
			}
		}
		j.over = true
		return true
	}
	if running {
		j.over = true
		j.timer.Stop()
		s.running--
		s.next()
		return true
	}
	return false
}

// hold lets nothing new begin for a while; what runs takes so much longer.
func (s *station) hold(until time.Time) {
	s.mu.Lock()
	s.still = until
	s.mu.Unlock()
}

// clear drops all work, as a process that dies does.
func (s *station) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.waiting {
		j.over = true
	}
	s.waiting, s.running = nil, 0
}

func (s *station) load() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.waiting)
}
