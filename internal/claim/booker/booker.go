// Package booker holds the dispatcher's side of a claim: it collects the votes of
// a key's witnesses and says whether the attempt may send.
package booker

import (
	"slices"

	"mustardhook/internal/claim/rules"
	"mustardhook/internal/claim/votes"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/msgs"
)

const (
	// RoundLimit is how long a round waits for votes, and how long after it began
	// it may still send.
	RoundLimit = 1 * clock.Second
)

// What a round has come to.
const (
	// Pending means that votes are missing.
	Pending Standing = iota
	// Won means that the attempt may send.
	Won
	// Done means that another attempt was answered.
	Done
	// Taken means that another attempt holds the key.
	Taken
	// Unknown means that another attempt may have run, and nobody will know.
	Unknown
	// Mismatch means that the key was used for another request.
	Mismatch
	// Doubtful means that claims of the key may have been lost.
	Doubtful
	// Lost means that no quorum can be had in this round.
	Lost
)

type (
	// Standing is what a round has come to.
	Standing int

	// Round is one attempt's collection of votes.
	Round struct {
		waived    rules.Waived
		ask       msgs.VoteAsk
		witnesses []ident.Incarnation
		began     clock.Millis
		gives     map[ident.Incarnation]msgs.VoteGive
	}
)

// NewRound returns a round without votes.
func NewRound(now clock.Millis, ask msgs.VoteAsk, witnesses []ident.Incarnation, waived rules.Waived) *Round {
	return &Round{
		waived: waived, ask: ask, witnesses: witnesses, began: now, gives: map[ident.Incarnation]msgs.VoteGive{},
	}
}

// Ask returns what to ask each witness.
func (r *Round) Ask() msgs.VoteAsk { return r.ask }

// Witnesses returns the witnesses to ask.
func (r *Round) Witnesses() []ident.Incarnation { return r.witnesses }

// Take records a witness's answer to this round.
func (r *Round) Take(from ident.Incarnation, give msgs.VoteGive) {
	if give.Attempt == r.ask.Attempt && give.Scope == r.ask.Scope && slices.Contains(r.witnesses, from) {
		r.gives[from] = give
	}
}

// Answer returns the answer of the attempt that was done, if any is known.
func (r *Round) Answer() msgs.Answer {
	for _, witness := range r.witnesses {
		if give := r.gives[witness]; give.Verdict == msgs.VoteTaken && give.State == msgs.ClaimDone {
			return give.Answer
		}
	}
	return msgs.Answer{}
}

// Holder returns the other attempt that most witnesses voted for.
func (r *Round) Holder() ident.Attempt {
	counts := map[ident.Attempt]int{}
	var holder ident.Attempt
	for _, witness := range r.witnesses {
		give := r.gives[witness]
		if give.Verdict != msgs.VoteTaken {
			continue
		}
		counts[give.Holder]++
		if holder == "" || counts[give.Holder] > counts[holder] {
			holder = give.Holder
		}
	}
	return holder
}

// Standing says what the round has come to at the instant.
func (r *Round) Standing(now clock.Millis) Standing {
	quorum := votes.Quorum(len(r.witnesses))
	if r.waived.Quorum {
		quorum = 1
	}
	counts := map[msgs.Verdict]int{}
	holders := map[ident.Attempt]int{}
	for _, witness := range r.witnesses {
		give := r.gives[witness]
		counts[give.Verdict]++
		if give.Verdict != msgs.VoteTaken {
			continue
		}
		if give.State == msgs.ClaimDone {
			return Done
		}
		if give.State == msgs.ClaimUnknown {
			return Unknown
		}
		holders[give.Holder]++
	}
	isLate := now-r.began > RoundLimit
	switch {
	case counts[msgs.VoteMismatch] > 0:
		return Mismatch
	case counts[msgs.VoteGranted] >= quorum && !isLate:
		return Won
	case isHeld(holders, quorum):
		return Taken
	case counts[msgs.VoteUncertain] > len(r.witnesses)-quorum:
		return Doubtful
	case isLate || len(r.gives) == len(r.witnesses):
		return Lost
	}
	return Pending
}

// IsProvenFree reports whether the votes prove that no other attempt has run: a
// quorum voted for this one.
func (r *Round) IsProvenFree() bool {
	granted := 0
	for _, give := range r.gives {
		if give.Verdict == msgs.VoteGranted {
			granted++
		}
	}
	return granted >= votes.Quorum(len(r.witnesses)) || r.waived.NotRun
}

func isHeld(holders map[ident.Attempt]int, quorum int) bool {
	for _, count := range holders {
		if count >= quorum {
			return true
		}
	}
	return false
}
