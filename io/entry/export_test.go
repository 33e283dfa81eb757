package entry

import "clementinelock/core/reach"

// End closes the connections that are still open, as the end of the process does.
func (s *Server) End() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.conns {
		_ = c.conn.Close()
	}
}

// CutOff lets the server count as cut off from all endpoints.
func (s *Server) CutOff() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reach.watch.RecordRound(s.Now(), reach.Round{Began: s.Now(), Probed: 1, Refused: 1})
}
