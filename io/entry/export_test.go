package entry

// End closes the connections that are still open, as the end of the process does.
func (s *Server) End() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.conns {
		_ = c.conn.Close()
	}
}
