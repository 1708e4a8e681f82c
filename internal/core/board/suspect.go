package board

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/msgs"
)

type (
	// Suspect is a prompt that was in flight on engines that died or may have died.
	Suspect struct {
		Fingerprint uint64
		Deaths      []Death
		// Cleared is the number of deaths that the prompt was found not to have caused.
		Cleared  int
		Examiner ident.Incarnation
		Term     uint64
		// ExamineAfter is the earliest time at which the examiner may run the prompt.
		ExamineAfter clock.Millis
		// LastDeathAt is the time at which the last new death was recorded.
		LastDeathAt clock.Millis
	}

	// Death is the end of an engine process, or a broken stream that may have been
	// caused by one.
	Death struct {
		Endpoint  ident.Endpoint
		Boot      uint64
		At        clock.Millis
		Confirmed bool
	}
)

// ToMessage returns the suspect in the form that is published to other entries.
func (s Suspect) ToMessage(now clock.Millis) msgs.Suspect {
	message := msgs.Suspect{Fingerprint: s.Fingerprint, Cleared: s.Cleared, Examiner: s.Examiner, Term: s.Term}
	for _, death := range s.Deaths {
		message.Deaths = append(message.Deaths, msgs.Death{
			Endpoint: death.Endpoint, Boot: death.Boot, Age: now - death.At, Confirmed: death.Confirmed,
		})
	}
	return message
}
