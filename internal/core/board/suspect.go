package board

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/msgs"
)

type (
	// Suspect is a prompt that was in flight on engines that died.
	Suspect struct {
		Fingerprint uint64
		Deaths      []Death
		Cleared     int
		Examiner    ident.Incarnation
		Term        uint64
		// ExaminedFrom is when the examiner may first run the prompt.
		ExaminedFrom clock.Millis
		LastDeathAt  clock.Millis
	}

	// Death is the end of one life of an engine, or a broken stream that may
	// have been one.
	Death struct {
		Endpoint  ident.Endpoint
		Boot      uint64
		At        clock.Millis
		Confirmed bool
	}
)

// ToMessage returns the suspect as it is told to other entries.
func (s Suspect) ToMessage(now clock.Millis) msgs.Suspect {
	told := msgs.Suspect{Fingerprint: s.Fingerprint, Cleared: s.Cleared, Examiner: s.Examiner, Term: s.Term}
	for _, death := range s.Deaths {
		told.Deaths = append(told.Deaths, msgs.Death{
			Endpoint: death.Endpoint, Boot: death.Boot, Age: now - death.At, Confirmed: death.Confirmed,
		})
	}
	return told
}
