package config

import (
	"maps"

	"mustardhook/internal/wire/watch"
)

type (
	// Copy is a copy of the values of a service.
	Copy struct {
		values   map[string]watch.Value
		revision uint64
	}
)

// Copy returns a copy of the current values.
func (s *Server) Copy() Copy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Copy{maps.Clone(s.values), s.revision}
}

// ComeBack replaces all values with those of the copy. Revisions after the copy are given out
// again. With tellsEra the service begins another era.
func (s *Server) ComeBack(from Copy, tellsEra bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.values = maps.Clone(from.values)
	s.revision = from.revision
	if tellsEra {
		s.era++
	}
	s.wake()
}

// SetEra sets the era that the service tells.
func (s *Server) SetEra(era uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era = era
}

// IgnoreEra makes the service ignore the era that a poll names, as one that knows of none.
func (s *Server) IgnoreEra() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ignoresEra = true
}
