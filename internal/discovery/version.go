package discovery

// Version is the number of the newest list or change of discovery in force; 0: none.
func (s *Registry) Version() int64 { return s.watch.version }
