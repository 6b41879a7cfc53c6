package front

import "time"

// slowReaderGrace is how long a client may take to read a large value while there is no memory for the values of others.
const slowReaderGrace = 100 * time.Millisecond

// ReclaimValues ends the connection whose client has been reading a large value for longest, if that is longer than
// slowReaderGrace: clients that do not read must not hold the memory that others wait for.
func (srv *Server) ReclaimValues() {
	if slowest := srv.slowestReader(time.Now().Add(-slowReaderGrace)); slowest != nil {
		srv.slowReaders.Add(1)
		go slowest.abort(slowReader)
	}
}

// slowestReader returns the connection that has been writing a value in a block since the earliest time before cutoff, nil for none.
func (srv *Server) slowestReader(cutoff time.Time) (slowest *conn) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	for c := range srv.conns {
		c.mu.Lock()
		if c.writing && c.writingValue && !c.closed && c.writingSince.Before(cutoff) {
			slowest, cutoff = c, c.writingSince
		}
		c.mu.Unlock()
	}
	return slowest
}
